/** Remembers how much work upstreams ask for, as they tell in their answers. */
package org.teaseltrail.core.backpressure;
