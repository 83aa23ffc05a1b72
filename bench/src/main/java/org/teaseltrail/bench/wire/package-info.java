/** Measures the codec: time of writing and reading a message, and bytes by message type. */
package org.teaseltrail.bench.wire;
