package org.teaseltrail.bench.stream;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.stream.BegunStream;
import org.teaseltrail.core.stream.StreamKey;
import org.teaseltrail.core.stream.StreamOrigin;
import org.teaseltrail.core.stream.StreamOriginRegistry;
import org.teaseltrail.wire.MessageCodec;

/**
 * Prints what it costs to tell a control member which version began a stream: the size of the
 * message, its processor time at the entry VM and at the member, and the memory of what the member
 * keeps.
 */
public final class OriginCost {

  private static final int ROUNDS = 5;
  private static final int STREAMS_PER_ROUND = 200_000;
  private static final int KEPT_IN_A_MINUTE = 90_000;
  private static final int RETENTION_MS = 60_000;
  private static final int TOLD_AGAIN = 250;
  private static final double NS_PER_US = 1e3;
  private static final double BYTES_PER_MB = 1e6;
  private static final StreamOrigin ORIGIN =
      new StreamOrigin(new ServiceId("tutor-llm-pool"), Optional.of(new UpstreamVersion("v1.12")));

  private OriginCost() {}

  /**
   * Prints a line for each cost.
   *
   * @param args unused
   */
  public static void main(String[] args) {
    MessageCodec codec = new MessageCodec();
    byte[] one = codec.encode(ServingMessage.class, message(1, 1));
    System.out.printf("a stream with its first event     %8d bytes%n", one.length);
    byte[] many = codec.encode(ServingMessage.class, message(1, TOLD_AGAIN));
    System.out.printf("%d streams told again            %8d bytes%n", TOLD_AGAIN, many.length);
    print(
        "encode at the entry VM", number -> codec.encode(ServingMessage.class, message(number, 1)));
    print("decode at the member", number -> codec.decode(ServingMessage.class, one));
    StreamOriginRegistry registry = new StreamOriginRegistry();
    print("record at the member", number -> registry.record(stream(number), 0));
    printMemory(KEPT_IN_A_MINUTE);
    printMemory(STREAMS_PER_ROUND);
  }

  /** Prints the shortest mean of all rounds. */
  private static void print(String name, LongConsumer operation) {
    double shortestUs = Double.MAX_VALUE;
    for (int round = 0; round < ROUNDS; round++) {
      long startNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
      for (int i = 0; i < STREAMS_PER_ROUND; i++) {
        operation.accept(i);
      }
      long elapsedNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNs;
      shortestUs = Math.min(shortestUs, elapsedNs / NS_PER_US / STREAMS_PER_ROUND);
    }
    System.out.printf("%-33s %8.2f us CPU%n", name, shortestUs);
  }

  private static void printMemory(int streams) {
    long beforeBytes = usedBytes();
    StreamOriginRegistry registry = new StreamOriginRegistry();
    MessageCodec codec = new MessageCodec();
    for (int i = 0; i < streams; i++) {
      byte[] bytes = codec.encode(ServingMessage.class, message(i, 1));
      ServingMessage.StreamsBegun begun =
          (ServingMessage.StreamsBegun) codec.decode(ServingMessage.class, bytes);
      begun.streams().forEach(stream -> registry.record(stream, 0));
    }
    double megabytes = (usedBytes() - beforeBytes) / BYTES_PER_MB;
    boolean isKept = registry.find(stream(streams - 1).key(), 0).isPresent();
    System.out.printf("%,d kept at the member: %s %8.1f MB heap%n", streams, isKept, megabytes);
  }

  private static long usedBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static ServingMessage message(long firstNumber, int streams) {
    List<BegunStream> begun =
        LongStream.range(firstNumber, firstNumber + streams).mapToObj(OriginCost::stream).toList();
    return new ServingMessage.StreamsBegun(new VmId("10.128.34.56:19101"), begun);
  }

  private static BegunStream stream(long number) {
    StreamKey key =
        new StreamKey(Optional.of(new CustomerId("hule930")), Long.toHexString(~number));
    return new BegunStream(key, ORIGIN, RETENTION_MS);
  }
}
