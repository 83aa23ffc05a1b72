/** Tracks the rate limits that upstreams announce in their answers. */
package org.teaseltrail.core.backpressure;
