package org.teaseltrail.core.control;

/** Says what is wrong with an ordered version. */
enum BadVersion {
  /** Nothing. */
  GOOD(0, 1, 0, false, false),
  /** Two fifths of its answers fail. */
  FAILS(0.4, 1, 0, false, false),
  /** A fifth of its answers fail. */
  FAILS_SOMETIMES(0.2, 1, 0, false, false),
  /** Two fifths of its answers take four times as long. */
  SLOW(0.4, 4, 0, false, false),
  /** Two fifths of its answers fail, from two fifths of the rollout's time on. */
  FAILS_LATE(0.4, 1, 0.4, false, false),
  /** Half of its answers take four times as long, from two fifths of the rollout's time on. */
  SLOW_LATE(0.5, 4, 0.4, false, false),
  /** Half of its answers fail while its engine is nearly full. */
  FAILS_UNDER_LOAD(0.5, 1, 0, true, false),
  /** Half of its answers fail on one route. */
  FAILS_ON_ONE_ROUTE(0.5, 1, 0, false, true),
  /** Half of its answers take four times as long on one route. */
  SLOW_ON_ONE_ROUTE(0.5, 4, 0, false, true);

  private final double share;
  private final double times;
  private final double fromPart;
  private final boolean underLoad;
  private final boolean oneRoute;

  BadVersion(double share, double times, double fromPart, boolean underLoad, boolean oneRoute) {
    this.share = share;
    this.times = times;
    this.fromPart = fromPart;
    this.underLoad = underLoad;
    this.oneRoute = oneRoute;
  }

  /** Tells whether it is bad at all. */
  boolean isBad() {
    return share > 0;
  }

  /** Tells whether bad answers are slow ones, and not failures. */
  boolean isSlow() {
    return times > 1;
  }

  /** Returns how many times longer a bad answer takes. */
  double times() {
    return times;
  }

  /** Returns the share of bad answers, in some moment of the rollout. */
  double shareAt(double passedPart, boolean loaded, boolean onThatRoute) {
    boolean shows = passedPart >= fromPart && (loaded || !underLoad) && (onThatRoute || !oneRoute);
    return shows ? share : 0;
  }
}
