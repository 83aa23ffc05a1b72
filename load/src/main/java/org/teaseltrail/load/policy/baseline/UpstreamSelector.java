package org.teaseltrail.load.policy.baseline;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.upstream.Announcement;

/** Strategy for selecting an upstream by the last announcements. */
enum UpstreamSelector {
  /** Round robin. */
  ROUND_ROBIN {
    @Override
    Announcement select(List<Announcement> serving, long turn, RandomGenerator random) {
      return serving.get((int) (turn % serving.size()));
    }
  },
  /** Selects the upstream with the least reported load; ties are broken at random. */
  LEAST_LOADED {
    @Override
    Announcement select(List<Announcement> serving, long turn, RandomGenerator random) {
      int offset = random.nextInt(serving.size());
      Announcement best = serving.get(offset);
      for (int i = 1; i < serving.size(); i++) {
        best = lessLoaded(best, serving.get((offset + i) % serving.size()));
      }
      return best;
    }
  },
  /** Picks two upstreams at random and selects the one with less reported load. */
  POWER_OF_TWO {
    @Override
    Announcement select(List<Announcement> serving, long turn, RandomGenerator random) {
      Announcement first = serving.get(random.nextInt(serving.size()));
      Announcement second = serving.get(random.nextInt(serving.size()));
      return lessLoaded(first, second);
    }
  };

  private static final Comparator<Announcement> BY_LOAD =
      Comparator.comparingDouble(UpstreamSelector::reportedLoad);

  /** Selects one of the given upstreams, of which there is at least one. */
  abstract Announcement select(List<Announcement> serving, long turn, RandomGenerator random);

  private static Announcement lessLoaded(Announcement first, Announcement second) {
    return BY_LOAD.compare(first, second) <= 0 ? first : second;
  }

  private static double reportedLoad(Announcement a) {
    double requests = a.load().runningRequests() + a.load().queuedRequests();
    return requests / a.maxBatch();
  }
}
