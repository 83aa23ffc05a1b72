package org.teaseltrail.core.forward;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.relay.RelaySettings;
import org.teaseltrail.core.serving.ServingMessage;

/**
 * Announces to the leader where this VM accepts relayed requests and which services it can't reach,
 * so that the leader names peers to it and names it to others.
 */
final class PeerAnnouncer {

  /** Time after which an unchanged announcement is repeated, in case an answer got lost. */
  private static final long REPEAT_NS = 5_000_000_000L;

  private final VmId vm;
  private final Incarnation incarnation;
  private final RelaySettings settings;
  private FencingNumber announcedTo = new FencingNumber(0);
  private List<ServiceId> announcedLost = List.of();
  private long announcedNs;
  private long sequence;
  private long answered;

  PeerAnnouncer(VmId vm, Incarnation incarnation, RelaySettings settings) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.settings = settings;
  }

  /** Returns the announcement that is due with a sync, if any. */
  Optional<ServingMessage> createAnnouncement(
      FencingNumber leadership, List<ServiceId> lost, long nowNs) {
    boolean isCurrent =
        leadership.equals(announcedTo)
            && lost.equals(announcedLost)
            && answered == sequence
            && nowNs - announcedNs < REPEAT_NS;
    if (settings.address().isEmpty() || isCurrent) {
      return Optional.empty();
    }
    announcedTo = leadership;
    announcedLost = lost;
    announcedNs = nowNs;
    sequence++;
    return Optional.of(
        new ServingMessage.Paths(
            vm, incarnation, sequence, settings.address().get(), settings.dataCenter(), lost));
  }

  /** Records that the leader has answered an announcement. */
  void onAnswer(long answeredSequence) {
    answered = Math.max(answered, answeredSequence);
  }
}
