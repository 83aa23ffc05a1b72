package org.teaseltrail.bench.schedule;

/** Prints the heap usage of a scheduler for each upstream, customer and queued ticket. */
public final class MemoryMain {

  private static final int GC_ROUNDS = 4;

  private MemoryMain() {}

  /** Measures the difference in used heap between a small and a large pool. */
  public static void main(String[] args) {
    print("upstream", heapOf(1_100, 5, 0) - heapOf(100, 5, 0), 1_000);
    print("customer", heapOf(10, 4_500, 10_000) - heapOf(10, 500, 10_000), 4_000);
    print("waiting ticket", heapOf(10, 5, 22_000) - heapOf(10, 5, 2_000), 20_000);
  }

  private static long heapOf(int upstreams, int customers, int waiting) {
    long before = usedHeap();
    PoolLoadGenerator pool = new PoolLoadGenerator(upstreams, customers);
    pool.fill(waiting);
    long after = usedHeap();
    return pool.hashCode() == 0 ? 0 : after - before;
  }

  private static long usedHeap() {
    for (int i = 0; i < GC_ROUNDS; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static void print(String what, long bytes, int count) {
    System.out.printf("heap for each %s: %d bytes%n", what, bytes / count);
  }
}
