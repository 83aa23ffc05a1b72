package org.teaseltrail.core.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage.Hello;
import org.teaseltrail.core.session.HelloResult.SessionChange;

/**
 * Registry of the sessions of one leadership.
 *
 * <p>A new leader starts without sessions. VMs with a session at an earlier leader may continue to
 * serve until that session expires, so statements about all VMs hold only after one session
 * lifetime.
 */
public final class SessionRegistry {

  private static final long NS_PER_MS = 1_000_000L;

  private final SessionSettings settings;
  private final long priorSessionsExpireAtNs;
  private final Map<VmId, Session> expiredLagging = new HashMap<>();
  private final Map<VmId, Session> sessions = new TreeMap<>(Comparator.comparing(VmId::value));

  /**
   * Creates an empty registry.
   *
   * @param settings the timeouts
   * @param nowNs monotonic time at which the leadership begins
   */
  public SessionRegistry(SessionSettings settings, long nowNs) {
    this.settings = settings;
    priorSessionsExpireAtNs = nowNs + settings.expiryNs();
  }

  /**
   * Opens or renews the session of the VM that sent a hello.
   *
   * @param hello the hello
   * @param accepted the accepted revision
   * @param nowNs monotonic time
   * @return the result, which determines the reply
   */
  public HelloResult handleHello(Hello hello, Revision accepted, long nowNs) {
    Session present = sessions.get(hello.vm());
    SessionChange change = classify(present, hello);
    if (change == SessionChange.STALE) {
      return new HelloResult(change, false, false);
    }
    Session session = change == SessionChange.KEPT ? present : openSession(hello, nowNs);
    session.heard(nowNs);
    session.apply(hello.appliedRevision());
    boolean renewed = session.lagNs(accepted, nowNs) <= settings.maxLagMs() * NS_PER_MS;
    boolean needsConfiguration = markPushedIfDue(session, accepted, nowNs);
    if (renewed) {
      session.renew(nowNs + settings.expiryNs());
    } else if (change == SessionChange.OPENED) {
      expiredLagging.put(hello.vm(), session);
      return new HelloResult(SessionChange.HELD_OFF, false, needsConfiguration);
    }
    sessions.put(hello.vm(), session);
    return new HelloResult(change, renewed, needsConfiguration);
  }

  /**
   * Selects the VMs to which a configuration that has just been accepted must be sent, and records
   * it as sent.
   *
   * @param accepted the revision of the configuration
   * @param nowNs monotonic time
   * @return the VMs to send it to
   */
  public List<VmId> selectPushTargets(Revision accepted, long nowNs) {
    List<VmId> targets = new ArrayList<>();
    for (Session session : sessions.values()) {
      session.lagNs(accepted, nowNs);
      if (markPushedIfDue(session, accepted, nowNs)) {
        targets.add(session.vm());
      }
    }
    return targets;
  }

  /**
   * Removes the sessions that have expired.
   *
   * @param nowNs monotonic time
   * @return the VMs whose sessions were removed
   */
  public List<VmId> removeExpired(long nowNs) {
    List<VmId> expired = new ArrayList<>();
    Iterator<Session> all = sessions.values().iterator();
    while (all.hasNext()) {
      Session session = all.next();
      if (session.expiresAtNs() <= nowNs) {
        expired.add(session.vm());
        all.remove();
        if (session.isLagging()) {
          expiredLagging.put(session.vm(), session);
        }
      }
    }
    return expired;
  }

  /**
   * Returns the VMs that may still serve under an older configuration.
   *
   * @param revision the revision of the newer configuration
   * @return the VMs that have a session and have not applied the revision
   */
  public List<VmId> findLagging(Revision revision) {
    return sessions.values().stream()
        .filter(session -> !session.hasApplied(revision))
        .map(Session::vm)
        .toList();
  }

  /**
   * Returns whether all sessions that earlier leaders granted have expired or been renewed here.
   *
   * @param nowNs monotonic time
   * @return whether every VM that serves has a session in this registry
   */
  public boolean havePriorSessionsExpired(long nowNs) {
    return nowNs >= priorSessionsExpireAtNs;
  }

  /** Returns the session of a VM, if it has one. */
  public Optional<Session> find(VmId vm) {
    return Optional.ofNullable(sessions.get(vm));
  }

  /** Returns all sessions, sorted by VM id. */
  public Collection<Session> all() {
    return List.copyOf(sessions.values());
  }

  /**
   * Returns the time of the next change that no message triggers.
   *
   * @param nowNs monotonic time
   * @return when the next session expires or those of earlier leaders have expired; empty if there
   *     is nothing to wait for
   */
  public OptionalLong nextWakeupNs(long nowNs) {
    OptionalLong expiry = sessions.values().stream().mapToLong(Session::expiresAtNs).min();
    if (havePriorSessionsExpired(nowNs)) {
      return expiry;
    }
    return OptionalLong.of(
        Math.min(expiry.orElse(priorSessionsExpireAtNs), priorSessionsExpireAtNs));
  }

  /**
   * Opens a session that inherits the configuration lag of the VM's expired session.
   *
   * <p>Without this, a VM that keeps sending hellos but hangs while applying a new configuration
   * would get a fresh grace period after every expiry and would admit requests under the old
   * configuration again and again. The lag is therefore counted across expiries until the VM
   * applies the accepted configuration or its process restarts.
   */
  private Session openSession(Hello hello, long nowNs) {
    Session session = new Session(hello, nowNs + settings.expiryNs());
    Session before = expiredLagging.remove(hello.vm());
    if (before != null && before.incarnation().equals(hello.incarnation())) {
      session.inheritLag(before);
    }
    return session;
  }

  private boolean markPushedIfDue(Session session, Revision accepted, long nowNs) {
    if (!session.needsPush(accepted, nowNs, settings.pushRetryMs() * NS_PER_MS)) {
      return false;
    }
    session.markPushed(accepted, nowNs);
    return true;
  }

  private static SessionChange classify(Session present, Hello hello) {
    if (present == null) {
      return SessionChange.OPENED;
    }
    int order = hello.incarnation().compareTo(present.incarnation());
    if (order == 0) {
      return SessionChange.KEPT;
    }
    return order > 0 ? SessionChange.REPLACED : SessionChange.STALE;
  }
}
