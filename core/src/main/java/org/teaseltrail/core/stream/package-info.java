/** Which upstreams may continue a stream that another one has begun. */
package org.teaseltrail.core.stream;
