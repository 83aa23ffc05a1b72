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
 * Session of the VM with the control members. It tracks the leader and the time until which the VM
 * may admit requests.
 *
 * <p>A VM that is partitioned from the leader, or was paused, would otherwise continue under an old
 * configuration. The end of the session is counted on the VM's own monotonic clock from the time at
 * which the answered hello was sent, so that a delayed answer can't extend it. A welcome takes
 * effect only after the configuration that it names is applied.
 */
final class ControlSession {

  private final EntrySettings settings;
  private final AppliedConfiguration configuration;
  private final EntryQuarantine quarantine;
  private final ActionBuffer actions;
  private final Map<MemberId, ControlConnection> connections = new LinkedHashMap<>();

  private FencingNumber greatestFencing = new FencingNumber(0);
  private MemberId leader;
  private long helloSequence;
  private boolean leaseSeen;
  private long lastLeaseNs;
  private long lifetimeNs;
  private boolean confirmedOnce;
  private long confirmedUntilNs;
  private Confirmation pending;

  ControlSession(
      EntrySettings settings,
      AppliedConfiguration configuration,
      EntryQuarantine quarantine,
      ActionBuffer actions) {
    this.quarantine = quarantine;
    this.settings = settings;
    this.configuration = configuration;
    this.actions = actions;
  }

  void connected(MemberId member, long nowNs) {
    connections.computeIfAbsent(member, ControlConnection::new).open(nowNs);
    sendDueHellos(nowNs);
  }

  void disconnected(MemberId member) {
    ControlConnection connection = connections.get(member);
    if (connection != null) {
      connection.close();
    }
  }

  void messageReceived(MemberId member, long nowNs) {
    ControlConnection connection = connections.get(member);
    if (connection != null) {
      connection.heard(nowNs);
    }
  }

  /**
   * Sends the hellos that are due, and reconnects to members that have sent nothing for too long.
   */
  void sendDueHellos(long nowNs) {
    for (ControlConnection connection : connections.values()) {
      if (connection.isSilent(nowNs, Millis.toNanos(settings.silenceTimeoutMs()))) {
        connection.close();
        actions.add(new EntryAction.ReconnectControl(connection.member()));
      }
      if (connection.isHelloDue(nowNs)) {
        sendHello(connection, nowNs);
      }
    }
  }

  private void sendHello(ControlConnection connection, long nowNs) {
    helloSequence++;
    connection.helloSent(helloSequence, nowNs, Millis.toNanos(settings.helloIntervalMs()));
    actions.add(
        new EntryAction.SendControl(
            connection.member(),
            new EntryMessage.Hello(
                settings.vm(),
                settings.incarnation(),
                settings.dataCenter(),
                configuration.revision(),
                helloSequence,
                quarantine.createReport(nowNs))));
  }

  /**
   * Handles a welcome.
   *
   * @return the connection to the leader, or empty if the welcome is from an older leadership or
   *     answers no pending hello of this connection
   */
  Optional<ControlConnection> welcomed(Welcome welcome, MemberId member, long nowNs) {
    ControlConnection connection = connections.get(member);
    OptionalLong sentNs =
        connection == null ? OptionalLong.empty() : connection.answered(welcome.sequence());
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
    return Optional.of(connection);
  }

  /**
   * Extends the session by the newest welcome if the configuration that the welcome names is
   * applied.
   */
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

  /**
   * Records that the member is not the leader any more, so that all requests are reported again
   * after its next welcome.
   */
  void notLeader(MemberId member) {
    ControlConnection connection = connections.get(member);
    if (connection != null) {
      connection.forgetReports();
    }
  }

  /** Returns whether no newer leadership is known than this one. */
  boolean isCurrentLeadership(FencingNumber fencing) {
    return fencing.compareTo(greatestFencing) >= 0;
  }

  /** Records the leadership of a configuration update. */
  void observeFencing(FencingNumber fencing) {
    greatestFencing = fencing.compareTo(greatestFencing) > 0 ? fencing : greatestFencing;
  }

  /** Returns whether a message comes from the leader of the newest known leadership. */
  boolean isFromLeader(MemberId member, FencingNumber fencing) {
    return member.equals(leader) && fencing.equals(greatestFencing);
  }

  /** Returns whether requests may be admitted. */
  boolean isValid(long nowNs) {
    return confirmedOnce && nowNs < confirmedUntilNs;
  }

  /**
   * Returns whether a scheduler is reachable: a lease was confirmed within the last session
   * lifetime.
   */
  boolean isSchedulerReachable(long nowNs) {
    return leaseSeen && nowNs - lastLeaseNs < lifetimeNs;
  }

  /** Returns the time since the last confirmed lease. */
  long timeSinceLeaseNs(long nowNs) {
    return leaseSeen ? nowNs - lastLeaseNs : 0;
  }

  /** Returns the time of the last confirmed lease. */
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
    return Optional.ofNullable(leader).map(connections::get).filter(ControlConnection::isOpen);
  }

  /** Sends a message to the leader, or drops it if there is no connection to a leader. */
  void sendToLeader(EntryMessage message) {
    leaderConnection()
        .ifPresent(
            connection -> actions.add(new EntryAction.SendControl(connection.member(), message)));
  }

  OptionalLong nextHelloNs() {
    return connections.values().stream()
        .filter(ControlConnection::isOpen)
        .mapToLong(ControlConnection::nextHelloNs)
        .min();
  }

  /** Returns the time at which the session ends unless it is renewed. */
  OptionalLong confirmedUntilNs() {
    return confirmedOnce ? OptionalLong.of(confirmedUntilNs) : OptionalLong.empty();
  }

  private record Confirmation(Revision revision, long untilNs) {}
}
