package org.teaseltrail.forward;

import io.netty.channel.Channel;
import java.util.EnumSet;
import java.util.Set;

/** The reasons for which a connection isn't read at present. */
final class ReadPauses {

  /** A reason to pause. */
  enum Reason {
    /** Events are held back, to be read together with later ones. */
    COALESCING,
    /** The caller can take no more. */
    CALLER_BLOCKED,
    /** There is no room for the answer. */
    NO_ROOM
  }

  private final Set<Reason> reasons = EnumSet.noneOf(Reason.class);

  /** Sets whether a reason applies, and pauses or resumes the reading of the channel. */
  void set(Channel channel, Reason reason, boolean applies) {
    if (applies) {
      reasons.add(reason);
    } else {
      reasons.remove(reason);
    }
    channel.config().setAutoRead(reasons.isEmpty());
  }

  /** Resumes the reading of the channel, whatever has paused it. */
  void clear(Channel channel) {
    reasons.clear();
    channel.config().setAutoRead(true);
  }
}
