package org.teaseltrail.bench.wire;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.wire.MessageCodec;
import org.teaseltrail.wire.MessageDecoder;
import org.teaseltrail.wire.MessageEncoder;

/**
 * Prints the encoded size of each sample message, without the four bytes of the frame length, and
 * the processor time of encoding and decoding it. Processor time is measured rather than elapsed
 * time, so that the results are valid on a shared machine; {@link WireCodecBenchmark} measures
 * elapsed time.
 */
public final class WireCosts {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final long BATCH_NS = 200_000_000;
  private static final int WARM_UP_BATCHES = 5;
  private static final int BATCHES = 9;
  private static final double NS_PER_US = 1_000;

  private WireCosts() {}

  /**
   * Prints a line for each message.
   *
   * @param args unused
   */
  public static void main(String[] args) {
    MessageCodec codec = new MessageCodec();
    System.out.println(
        "message               bytes  encode CPU us (min..max)  decode CPU us (min..max)");
    for (WireSample sample : WireSample.values()) {
      byte[] bytes = sample.encode(codec);
      System.out.printf(
          "%-18s %8d  %s  %s%n",
          sample,
          bytes.length,
          cost(() -> sample.encode(codec)),
          cost(() -> sample.decode(codec, bytes)));
    }
    printDelta(codec, 10, 20);
    printDelta(codec, 100, 250);
    printDelta(codec, 440, 1_100);
  }

  /**
   * Prints the costs of a delta for one changed customer, relative to the previous configuration.
   */
  private static void printDelta(MessageCodec codec, int customers, int upstreams) {
    ControlMessage before = WireSamples.configuration(customers, upstreams);
    ControlMessage after = WireSamples.withChangedCustomer(before);
    byte[] whole = codec.encode(ControlMessage.class, before);
    MessageEncoder<ControlMessage> encoder = MessageEncoder.forType(ControlMessage.class, codec);
    encoder.onSent(before);
    byte[] delta = encoder.encode(after);
    MessageDecoder<ControlMessage> decoder = MessageDecoder.forType(ControlMessage.class, codec);
    String readCost =
        cost(
            () -> {
              decoder.decode(whole);
              return decoder.decode(delta);
            });
    System.out.printf(
        "%-18s %8d  %s  %s with the whole before it%n",
        "DELTA_OF_" + customers, delta.length, cost(() -> encoder.encode(after)), readCost);
  }

  private static String cost(Operation operation) {
    for (int i = 0; i < WARM_UP_BATCHES; i++) {
      batchUs(operation);
    }
    double[] batchesUs = new double[BATCHES];
    for (int i = 0; i < BATCHES; i++) {
      batchesUs[i] = batchUs(operation);
    }
    Arrays.sort(batchesUs);
    return String.format(
        "%10.2f (%.2f..%.2f)", batchesUs[BATCHES / 2], batchesUs[0], batchesUs[BATCHES - 1]);
  }

  /** Returns the average processor time of one operation over a batch. */
  private static double batchUs(Operation operation) {
    long startNs = THREADS.getCurrentThreadCpuTime();
    long usedNs = 0;
    long operations = 0;
    int unread = 0;
    while (usedNs < BATCH_NS) {
      unread += operation.run() == null ? 1 : 0;
      operations++;
      if (operations % 16 == 0 || usedNs == 0) {
        usedNs = THREADS.getCurrentThreadCpuTime() - startNs;
      }
    }
    return unread < 0 ? 0 : usedNs / NS_PER_US / operations;
  }

  /** Operation to be measured. */
  @FunctionalInterface
  private interface Operation {
    Object run();
  }
}
