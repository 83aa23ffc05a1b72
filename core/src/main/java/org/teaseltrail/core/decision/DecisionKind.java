package org.teaseltrail.core.decision;

/** Kind of a decision. */
public enum DecisionKind {
  /** A request was granted an upstream. */
  GRANT,
  /** A grant was revoked before the request was executed. */
  REGRANT,
  /** A request was rejected because of a limit of its customer or pool. */
  REFUSE,
  /** A request was shed under overload. */
  SHED,
  /** The share of requests of an upstream was changed because of its speed or phase. */
  UPSTREAM,
  /** A model, adapter or version was placed on an engine. */
  PLACE
}
