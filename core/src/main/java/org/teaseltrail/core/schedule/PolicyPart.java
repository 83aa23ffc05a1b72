package org.teaseltrail.core.schedule;

/** A part of the scheduling policy that can be disabled, so that its effect can be measured. */
public enum PolicyPart {
  /** Tiers are served in strict priority order; off: all tickets wait in a single tier. */
  TIER_ORDER,
  /** Customers of a tier share engine time by weight; off: all are treated as one customer. */
  FAIR_SHARE,
  /** Tickets are ordered by useful deadline, short before long; off: first come, first served. */
  DEADLINE_ORDER,
  /** The prompt tokens processed at once by an engine are bounded; off: no bound. */
  PREFILL_BOUND,
  /**
   * The tokens in flight on an engine are limited by an adaptive window; off: only the engine's
   * maximum batch size limits the work.
   */
  TOKEN_WINDOW,
  /** The upstream is selected by estimated finish time; off: round robin among those with room. */
  FINISH_TIME_CHOICE,
  /** Upstreams that have a prompt's prefix cached are preferred; off: caches are ignored. */
  PREFIX_AFFINITY,
  /** A long request may wait briefly for the engine that has its prefix cached; off: never. */
  PREFIX_HOLD,
  /** Slow engines receive fewer requests, then only probes; off: all are treated alike. */
  STRAGGLERS,
  /** Customers are limited to their configured request rate; off: no rate limits. */
  RATE_LIMIT,
  /**
   * When waiting work exceeds its bound, requests of a customer above its share of it are shed
   * first; off: the newest request of the tier is shed, whoever sent it.
   */
  CUSTOMER_SHARE,
  /** Requests are shed when waiting work exceeds its bound; off: it grows without bound. */
  SHEDDING,
  /**
   * Tickets of the lowest waiting tier that can't meet their deadline any more are shed early; off:
   * they stay in the queue until the deadline has passed.
   */
  DEADLINE_PREDICTION
}
