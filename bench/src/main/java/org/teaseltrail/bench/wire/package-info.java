/** Benchmarks of the codec: time of encoding and decoding, and size of each message type. */
package org.teaseltrail.bench.wire;
