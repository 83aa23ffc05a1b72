/**
 * An entry VM that forwards plain HTTP requests and places them itself: by its own view of the
 * upstreams, under shares of quotas and a budget of repeats. All decisions, without I/O.
 */
package org.teaseltrail.core.forward;
