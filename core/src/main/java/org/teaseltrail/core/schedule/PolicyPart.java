package org.teaseltrail.core.schedule;

/** Names a part of the policy that can be switched off, so that its effect can be measured. */
public enum PolicyPart {
  /** Tiers go strictly in paid order; off: all tickets wait as one tier. */
  TIER_ORDER,
  /** Customers of a tier share engine time by weight; off: all count as one customer. */
  FAIR_SHARE,
  /** Tickets go by useful deadline, short before long; off: first come, first served. */
  DEADLINE_ORDER,
  /** A bound on prompt tokens in process per engine; off: no bound. */
  PREFILL_BOUND,
  /** A learned window on tokens in flight per engine; off: only the engine's greatest batch. */
  TOKEN_WINDOW,
  /** Estimated finish time chooses the upstream; off: the next in turn that has room. */
  FINISH_TIME_CHOICE,
  /** Prompt prefixes known to be cached draw requests; off: caches are ignored. */
  PREFIX_AFFINITY,
  /** A long request is held shortly for the engine that holds its prefix; off: never held. */
  PREFIX_HOLD,
  /** Slow engines get less, then only probes; off: all count as equally fast. */
  STRAGGLERS,
  /** Customers are held to their rate; off: no rates. */
  RATE_LIMIT,
  /** Over the bound, a customer above its share of the waiting work gives way first. */
  CUSTOMER_SHARE,
  /** Waiting work is bounded; off: it grows without bound. */
  SHEDDING,
  /** Tickets of the lowest waiting tier that can't meet their deadline are shed early. */
  DEADLINE_PREDICTION
}
