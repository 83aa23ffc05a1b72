package org.teaseltrail.core.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.message.ControlMessage.Welcome;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.request.Millis;

/**
 * Is the VM's session with the control members: who leads, and until when the VM may admit.
 *
 * <p>Guards against a VM that is cut off, or frozen and thawed, and goes on under an old
 * configuration. The session's end is counted on the VM's own monotonic clock from the sending of
 * the hello that was welcomed, so no delay on the way back can lengthen it; and a welcome counts
 * only once the configuration it names is in force here.
 */
final class ControlSession {

  private final EntrySettings settings;
  private final AppliedConfiguration configuration;
  private final ActionBuffer out;
  private final Map<MemberId, ControlConnection> links = new LinkedHashMap<>();

  private FencingNumber greatestFencing = new FencingNumber(0);
  private MemberId leader;
  private long helloSequence;
  private boolean leaseSeen;
  private long lastLeaseNs;
  private long lifetimeNs;
  private boolean confirmedOnce;
  private long confirmedUntilNs;
  private Confirmation pending;

  ControlSession(EntrySettings settings, AppliedConfiguration configuration, ActionBuffer out) {
    this.settings = settings;
    this.configuration = configuration;
    this.out = out;
  }

  void connected(MemberId member, long nowNs) {
    links.computeIfAbsent(member, ControlConnection::new).open(nowNs);
    sendDueHellos(nowNs);
  }

  void disconnected(MemberId member) {
    ControlConnection link = links.get(member);
    if (link != null) {
      link.close();
    }
  }

  void messageReceived(MemberId member, long nowNs) {
    ControlConnection link = links.get(member);
    if (link != null) {
      link.heard(nowNs);
    }
  }

  /** Sends the hellos that are due and gives up connections that have fallen silent. */
  void sendDueHellos(long nowNs) {
    for (ControlConnection link : links.values()) {
      if (link.isSilent(nowNs, Millis.toNanos(settings.silenceTimeoutMs()))) {
        link.close();
        out.add(new EntryAction.ReconnectControl(link.member()));
      }
      if (link.isHelloDue(nowNs)) {
        sendHello(link, nowNs);
      }
    }
  }

  private void sendHello(ControlConnection link, long nowNs) {
    helloSequence++;
    link.helloSent(helloSequence, nowNs, Millis.toNanos(settings.helloIntervalMs()));
    out.add(
        new EntryAction.SendControl(
            link.member(),
            new EntryMessage.Hello(
                settings.vm(),
                settings.incarnation(),
                settings.dataCenter(),
                configuration.revision(),
                helloSequence)));
  }

  /**
   * Takes a welcome in.
   *
   * @return the link to the leader, or empty if the welcome is of an older leadership or answers no
   *     hello of this connection
   */
  Optional<ControlConnection> welcomed(Welcome welcome, MemberId member, long nowNs) {
    ControlConnection link = links.get(member);
    OptionalLong sentNs = link == null ? OptionalLong.empty() : link.answered(welcome.sequence());
    if (sentNs.isEmpty() || welcome.fencing().compareTo(greatestFencing) < 0) {
      return Optional.empty();
    }
    greatestFencing = welcome.fencing();
    leader = member;
    lifetimeNs = Millis.toNanos(welcome.sessionLifetimeMs());
    lastLeaseNs = leaseSeen ? Math.max(lastLeaseNs, sentNs.getAsLong()) : sentNs.getAsLong();
    leaseSeen = true;
    pending = new Confirmation(welcome.revision(), sentNs.getAsLong() + lifetimeNs);
    confirmIfApplied();
    return Optional.of(link);
  }

  /** Lets the newest welcome count once the configuration that it names is in force. */
  void confirmIfApplied() {
    boolean applied =
        pending != null
            && configuration.isConfirmed()
            && configuration.revision().compareTo(pending.revision()) >= 0;
    if (applied) {
      confirmedUntilNs =
          confirmedOnce ? Math.max(confirmedUntilNs, pending.untilNs()) : pending.untilNs();
      confirmedOnce = true;
      pending = null;
    }
  }

  /** Notes that the member no longer leads, so that its next welcome asks for all reports. */
  void notLeader(MemberId member) {
    ControlConnection link = links.get(member);
    if (link != null) {
      link.forgetReports();
    }
  }

  /** Returns whether a configuration from this member and leadership may be applied. */
  boolean isCurrentLeadership(FencingNumber fencing) {
    return fencing.compareTo(greatestFencing) >= 0;
  }

  /** Notes a leadership that was seen in a configuration update. */
  void observeFencing(FencingNumber fencing) {
    greatestFencing = fencing.compareTo(greatestFencing) > 0 ? fencing : greatestFencing;
  }

  /** Returns whether a grant is of the newest leadership seen. */
  boolean isFromLeader(MemberId member, FencingNumber fencing) {
    return member.equals(leader) && fencing.equals(greatestFencing);
  }

  /** Returns whether requests may be admitted. */
  boolean isValid(long nowNs) {
    return confirmedOnce && nowNs < confirmedUntilNs;
  }

  /** Returns whether a scheduler is in reach. */
  boolean isSchedulerReachable(long nowNs) {
    return leaseSeen && nowNs - lastLeaseNs < lifetimeNs;
  }

  /** Returns the time since the last lease seen. */
  long timeSinceLeaseNs(long nowNs) {
    return leaseSeen ? nowNs - lastLeaseNs : 0;
  }

  /** Returns when the last lease was seen. */
  long lastLeaseNs() {
    return lastLeaseNs;
  }

  FencingNumber fencing() {
    return greatestFencing;
  }

  long helloSequence() {
    return helloSequence;
  }

  /** Returns the open connection to the leader, if there is one. */
  Optional<ControlConnection> leaderConnection() {
    return Optional.ofNullable(leader).map(links::get).filter(ControlConnection::isOpen);
  }

  /** Sends a message to the leader; without a connection to one it is left out. */
  void sendToLeader(EntryMessage message) {
    leaderConnection()
        .ifPresent(link -> out.add(new EntryAction.SendControl(link.member(), message)));
  }

  OptionalLong nextHelloNs() {
    return links.values().stream()
        .filter(ControlConnection::isOpen)
        .mapToLong(ControlConnection::nextHelloNs)
        .min();
  }

  /** Returns when the session ends unless it is renewed. */
  OptionalLong confirmedUntilNs() {
    return confirmedOnce ? OptionalLong.of(confirmedUntilNs) : OptionalLong.empty();
  }

  private record Confirmation(Revision revision, long untilNs) {}
}
