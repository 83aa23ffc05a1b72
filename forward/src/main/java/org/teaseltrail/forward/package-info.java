/**
 * The HTTP shell around {@link org.teaseltrail.core.forward.ForwardNode}: takes callers' requests,
 * carries them to upstreams and their answers back. One event loop owns all of it.
 */
package org.teaseltrail.forward;
