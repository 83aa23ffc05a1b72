package org.teaseltrail.core.schedule.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The group of upstreams that serve one target. It maintains the set of those with a free slot and
 * returns only a limited number of them, so that a selection does not scan the whole group: in a
 * busy pool few have room, and in an idle one a few dozen candidates suffice.
 */
public final class TargetGroup {

  /** Maximum number of upstreams compared in one selection, besides holders of the prefix. */
  private static final int MAX_CANDIDATES = 64;

  private final List<TrackedUpstream> all;
  private final List<TrackedUpstream> free = new ArrayList<>();
  private final Map<TrackedUpstream, Integer> places = new HashMap<>();
  private int cursor;

  TargetGroup(List<TrackedUpstream> all) {
    this.all = List.copyOf(all);
    this.all.forEach(this::update);
  }

  /** Returns all upstreams of the group, serving or not. */
  public List<TrackedUpstream> all() {
    return all;
  }

  /** Returns whether an upstream of the group has room in its batch. */
  public boolean hasBatchRoom(TrackedUpstream account) {
    return places.containsKey(account);
  }

  /**
   * Returns a limited number of upstreams that may be granted work now. If the group is larger than
   * the limit, each call continues where the previous one stopped.
   */
  public List<TrackedUpstream> candidates(long nowNs) {
    List<TrackedUpstream> open = new ArrayList<>();
    int size = free.size();
    if (size == 0) {
      return open;
    }
    int start = size <= MAX_CANDIDATES ? 0 : cursor % size;
    for (int i = 0; i < size && open.size() < MAX_CANDIDATES; i++) {
      TrackedUpstream account = free.get((start + i) % size);
      if (account.isGrantable(nowNs) && account.hasFreeSlot(nowNs)) {
        open.add(account);
      }
    }
    cursor = start + MAX_CANDIDATES;
    return open;
  }

  /** Updates the group after a change of an upstream's in-flight requests or maximum batch size. */
  void update(TrackedUpstream account) {
    boolean wasFree = places.containsKey(account);
    if (account.hasBatchRoom() && !wasFree) {
      places.put(account, free.size());
      free.add(account);
    } else if (!account.hasBatchRoom() && wasFree) {
      remove(account);
    }
  }

  private void remove(TrackedUpstream account) {
    int place = places.remove(account);
    TrackedUpstream last = free.remove(free.size() - 1);
    if (last != account) {
      free.set(place, last);
      places.put(last, place);
    }
  }
}
