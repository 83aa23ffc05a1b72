package org.teaseltrail.core.control;

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
  ACCEPTED_SILENT(Effect.HANG, Effect.UNANSWERED);

  /** What happens to a connection. */
  enum Effect {
    NONE,
    RESET,
    HANG,
    UNANSWERED
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
