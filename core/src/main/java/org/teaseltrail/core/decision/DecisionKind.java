package org.teaseltrail.core.decision;

/** Says what was decided. */
public enum DecisionKind {
  /** A request was given an upstream. */
  GRANT,
  /** A grant was undone before anything ran. */
  REGRANT,
  /** A request was refused for its customer's or pool's limits. */
  REFUSE,
  /** A request was shed. */
  SHED,
  /** An upstream's share of work was changed for its speed or phase. */
  UPSTREAM,
  /** A model, adapter or version was placed on an engine. */
  PLACE
}
