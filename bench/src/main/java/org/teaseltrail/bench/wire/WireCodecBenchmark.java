package org.teaseltrail.bench.wire;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.teaseltrail.wire.MessageCodec;

/** Measures the time of encoding and of decoding one message. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(2)
public class WireCodecBenchmark {

  /** Message to encode and decode. */
  @Param public WireSample sample;

  private final MessageCodec codec = new MessageCodec();
  private byte[] bytes;

  /** Encodes the message once, as input for decoding. */
  @Setup
  public void prepare() {
    bytes = sample.encode(codec);
  }

  /**
   * Encodes a message.
   *
   * @return the encoded message
   */
  @Benchmark
  public byte[] encode() {
    return sample.encode(codec);
  }

  /**
   * Decodes a message.
   *
   * @return the message
   */
  @Benchmark
  public Object decode() {
    return sample.decode(codec, bytes);
  }
}
