package org.teaseltrail.core.control;

/** Behavior of the target version of a rollout. */
enum VersionBehavior {
  /** Answers correctly and in the usual time. */
  GOOD(0, 1, 0, false, false),
  /** 40 % of its answers fail. */
  FAILS(0.4, 1, 0, false, false),
  /** 20 % of its answers fail. */
  FAILS_SOMETIMES(0.2, 1, 0, false, false),
  /** 40 % of its answers take four times as long. */
  SLOW(0.4, 4, 0, false, false),
  /** 40 % of its answers fail after 40 % of the rollout's duration. */
  FAILS_LATE(0.4, 1, 0.4, false, false),
  /** Half of its answers take four times as long after 40 % of the rollout's duration. */
  SLOW_LATE(0.5, 4, 0.4, false, false),
  /** Half of its answers fail while their engine is almost fully loaded. */
  FAILS_UNDER_LOAD(0.5, 1, 0, true, false),
  /** Half of its answers fail on one route. */
  FAILS_ON_ONE_ROUTE(0.5, 1, 0, false, true),
  /** Half of its answers take four times as long on one route. */
  SLOW_ON_ONE_ROUTE(0.5, 4, 0, false, true);

  private final double share;
  private final double latencyFactor;
  private final double startFraction;
  private final boolean underLoad;
  private final boolean oneRoute;

  VersionBehavior(
      double share,
      double latencyFactor,
      double startFraction,
      boolean underLoad,
      boolean oneRoute) {
    this.share = share;
    this.latencyFactor = latencyFactor;
    this.startFraction = startFraction;
    this.underLoad = underLoad;
    this.oneRoute = oneRoute;
  }

  /** Returns whether some of its answers are bad. */
  boolean isBad() {
    return share > 0;
  }

  /** Returns whether bad answers are slow instead of failing. */
  boolean isSlow() {
    return latencyFactor > 1;
  }

  /** Returns how many times longer a bad answer takes. */
  double latencyFactor() {
    return latencyFactor;
  }

  /** Returns the fraction of bad answers at a given time of the rollout. */
  double badShareAt(double elapsedFraction, boolean loaded, boolean onAffectedRoute) {
    boolean isAffected =
        elapsedFraction >= startFraction
            && (loaded || !underLoad)
            && (onAffectedRoute || !oneRoute);
    return isAffected ? share : 0;
  }
}
