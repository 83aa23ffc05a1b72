package org.teaseltrail.core.control;

import java.util.List;

/** How an entry VM's connections to all upstreams fail while it is partitioned from them. */
enum Cut {
  /** Open connections are reset, and new ones are rejected. */
  RESET(Effect.RESET, Effect.RESET),
  /** Nothing passes: open connections hang, and new ones are never established. */
  SILENT(Effect.HANG, Effect.HANG),
  /** Open connections hang, and new ones are rejected. */
  OPEN_SILENT(Effect.HANG, Effect.RESET),
  /** Open connections work, and new ones are rejected. */
  NEW_REFUSED(Effect.NONE, Effect.RESET),
  /** Connections are established, by something in between, and nothing is ever answered. */
  ACCEPTED_SILENT(Effect.HANG, Effect.UNANSWERED),
  /** Open connections are reset, and new ones are established and reset at once. */
  ACCEPTED_RESET(Effect.RESET, Effect.ACCEPTED_RESET),
  /** Open connections hang, and new ones are established and reset at once. */
  OPEN_SILENT_ACCEPTED_RESET(Effect.HANG, Effect.ACCEPTED_RESET),
  /** Open connections work, and new ones are established and reset at once. */
  NEW_ACCEPTED_RESET(Effect.NONE, Effect.ACCEPTED_RESET),
  /** New connections are rejected by some upstreams, reset by others, and hang at the rest. */
  MIXED(Effect.RESET, Effect.MIXED),
  /** Every second upstream resets open connections and accepted ones; the others work. */
  HALF_ACCEPTED_RESET(Effect.HALF_RESET, Effect.HALF_ACCEPTED_RESET),
  /** One upstream of each service resets open connections and accepted ones; the others work. */
  FIRST_ACCEPTED_RESET(Effect.FIRST_RESET, Effect.FIRST_ACCEPTED_RESET),
  /** Open connections work, and new ones take 300 to 800 ms, or time out. */
  SLOW_ACCEPT(Effect.NONE, Effect.SLOW);

  /** What happens to a connection. */
  enum Effect {
    NONE,
    RESET,
    HANG,
    UNANSWERED,
    ACCEPTED_RESET,
    MIXED,
    SLOW,
    HALF_RESET,
    HALF_ACCEPTED_RESET,
    FIRST_RESET,
    FIRST_ACCEPTED_RESET;

    /** Returns what happens to a connection to one of the upstreams. */
    Effect at(int upstreamIndex) {
      List<Effect> mixed = List.of(RESET, ACCEPTED_RESET, HANG);
      return switch (this) {
        case MIXED -> mixed.get(upstreamIndex % mixed.size());
        case HALF_RESET -> upstreamIndex % 2 == 0 ? RESET : NONE;
        case HALF_ACCEPTED_RESET -> upstreamIndex % 2 == 0 ? ACCEPTED_RESET : NONE;
        case FIRST_RESET -> upstreamIndex % PathLossSimulation.ENGINES == 0 ? RESET : NONE;
        case FIRST_ACCEPTED_RESET ->
            upstreamIndex % PathLossSimulation.ENGINES == 0 ? ACCEPTED_RESET : NONE;
        default -> this;
      };
    }
  }

  private final Effect onOpen;
  private final Effect onNew;

  Cut(Effect onOpen, Effect onNew) {
    this.onOpen = onOpen;
    this.onNew = onNew;
  }

  Effect onOpenConnection() {
    return onOpen;
  }

  Effect onNewConnection() {
    return onNew;
  }
}
