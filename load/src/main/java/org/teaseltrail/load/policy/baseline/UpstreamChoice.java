package org.teaseltrail.load.policy.baseline;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.upstream.Announcement;

/** Chooses an upstream from what its last announcement says. */
enum UpstreamChoice {
  /** Takes each in turn. */
  ROUND_ROBIN {
    @Override
    Announcement choose(List<Announcement> serving, long turn, RandomGenerator random) {
      return serving.get((int) (turn % serving.size()));
    }
  },
  /** Takes the one that reported the least load; equal loads are drawn. */
  LEAST_LOADED {
    @Override
    Announcement choose(List<Announcement> serving, long turn, RandomGenerator random) {
      int offset = random.nextInt(serving.size());
      Announcement best = serving.get(offset);
      for (int i = 1; i < serving.size(); i++) {
        best = lessLoaded(best, serving.get((offset + i) % serving.size()));
      }
      return best;
    }
  },
  /** Draws two and takes the one that reported less load. */
  POWER_OF_TWO {
    @Override
    Announcement choose(List<Announcement> serving, long turn, RandomGenerator random) {
      Announcement first = serving.get(random.nextInt(serving.size()));
      Announcement second = serving.get(random.nextInt(serving.size()));
      return lessLoaded(first, second);
    }
  };

  private static final Comparator<Announcement> BY_LOAD =
      Comparator.comparingDouble(UpstreamChoice::reportedLoad);

  /** Returns the chosen one of one or more upstreams. */
  abstract Announcement choose(List<Announcement> serving, long turn, RandomGenerator random);

  private static Announcement lessLoaded(Announcement first, Announcement second) {
    return BY_LOAD.compare(first, second) <= 0 ? first : second;
  }

  private static double reportedLoad(Announcement a) {
    double requests = a.load().runningRequests() + a.load().queuedRequests();
    return requests / a.maxBatch();
  }
}
