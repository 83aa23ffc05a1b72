package org.teaseltrail.load.prepare;

/**
 * Gives each process its loopback addresses, from a first port on.
 *
 * @param base the first port
 */
record Ports(int base) {

  private static final int OPERATORS = 10;
  private static final int METRICS = 20;
  private static final int ENTRIES = 30;
  private static final int UPSTREAMS = 50;

  String control(int number) {
    return address(number);
  }

  String operators(int number) {
    return address(OPERATORS + number);
  }

  String metrics(int number) {
    return address(METRICS + number);
  }

  String entry(int number) {
    return address(ENTRIES + number);
  }

  String upstream(int number) {
    return address(UPSTREAMS + number);
  }

  private String address(int offset) {
    return "127.0.0.1:" + (base + offset);
  }
}
