package org.teaseltrail.core.control;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.UpstreamId;

/** Slots that all entry VMs use, or were granted, at each upstream, kept up to date by changes. */
final class UpstreamUsage {

  private final Map<UpstreamId, Integer> used = new HashMap<>();
  private final Map<UpstreamId, Integer> unread = new HashMap<>();

  /** Adds slots in use, or subtracts them. */
  void addUsed(UpstreamId upstream, int slots) {
    add(used, upstream, slots);
  }

  /** Adds VMs or grants whose prompt may still be in processing, or subtracts them. */
  void addUnread(UpstreamId upstream, int sources) {
    add(unread, upstream, sources);
  }

  private static void add(Map<UpstreamId, Integer> counts, UpstreamId upstream, int count) {
    int sum = counts.getOrDefault(upstream, 0) + count;
    if (sum == 0) {
      counts.remove(upstream);
    } else {
      counts.put(upstream, sum);
    }
  }

  /** Returns how many slots of an upstream are in use or granted. */
  int usedAt(UpstreamId upstream) {
    return used.getOrDefault(upstream, 0);
  }

  /** Returns whether an upstream may have a prompt that it has not processed yet. */
  boolean hasUnreadPrompt(UpstreamId upstream) {
    return unread.containsKey(upstream);
  }
}
