/**
 * The HTTP layer around {@link org.teaseltrail.core.forward.ForwardNode}: receives callers'
 * requests, forwards them to upstreams and returns the responses. One event loop owns all of its
 * state.
 */
package org.teaseltrail.forward;
