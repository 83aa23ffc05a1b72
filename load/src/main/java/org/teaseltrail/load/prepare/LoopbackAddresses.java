package org.teaseltrail.load.prepare;

/**
 * Assigns loopback addresses to the processes of a deployment.
 *
 * @param base the base port, to which offsets are added
 */
record LoopbackAddresses(int base) {

  private static final int OPERATORS_OFFSET = 10;
  private static final int METRICS_OFFSET = 20;
  private static final int ENTRIES_OFFSET = 30;
  private static final int UPSTREAMS_OFFSET = 50;

  String control(int number) {
    return address(number);
  }

  String operators(int number) {
    return address(OPERATORS_OFFSET + number);
  }

  String metrics(int number) {
    return address(METRICS_OFFSET + number);
  }

  String entry(int number) {
    return address(ENTRIES_OFFSET + number);
  }

  String upstream(int number) {
    return address(UPSTREAMS_OFFSET + number);
  }

  private String address(int offset) {
    return "127.0.0.1:" + (base + offset);
  }
}
