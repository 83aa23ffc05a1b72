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
 * Holds the sessions of one leadership. A new leadership begins with none; VMs that an older leader
 * has welcomed may serve on under it for a session's lifetime, so what is said of all VMs is true
 * only after that.
 */
public final class SessionRegistry {

  private static final long NS_PER_MS = 1_000_000L;

  private final SessionSettings settings;
  private final long settledAtNs;
  private final Map<VmId, Session> heldOff = new HashMap<>();
  private final Map<VmId, Session> sessions = new TreeMap<>(Comparator.comparing(VmId::value));

  /**
   * Creates the sessions of a leadership.
   *
   * @param settings the times
   * @param nowNs when the leadership begins
   */
  public SessionRegistry(SessionSettings settings, long nowNs) {
    this.settings = settings;
    settledAtNs = nowNs + settings.expiryNs();
  }

  /**
   * Takes a hello.
   *
   * @param hello the hello
   * @param accepted the accepted revision
   * @param nowNs monotonic time
   * @return how to answer it
   */
  public HelloResult handleHello(Hello hello, Revision accepted, long nowNs) {
    Session present = sessions.get(hello.vm());
    SessionChange life = life(present, hello);
    if (life == SessionChange.STALE) {
      return new HelloResult(life, false, false);
    }
    Session session = life == SessionChange.KEPT ? present : opened(hello, nowNs);
    session.heard(nowNs);
    session.apply(hello.appliedRevision());
    boolean welcome = session.lagNs(accepted, nowNs) <= settings.maxLagMs() * NS_PER_MS;
    boolean push = push(session, accepted, nowNs);
    if (welcome) {
      session.renew(nowNs + settings.expiryNs());
    } else if (life == SessionChange.OPENED) {
      heldOff.put(hello.vm(), session);
      return new HelloResult(SessionChange.HELD_OFF, false, push);
    }
    sessions.put(hello.vm(), session);
    return new HelloResult(life, welcome, push);
  }

  /**
   * Tells which sessions need a configuration that has just been accepted.
   *
   * @param accepted its revision
   * @param nowNs monotonic time
   * @return the VMs to send it to
   */
  public List<VmId> selectPushTargets(Revision accepted, long nowNs) {
    List<VmId> targets = new ArrayList<>();
    for (Session session : sessions.values()) {
      session.lagNs(accepted, nowNs);
      if (push(session, accepted, nowNs)) {
        targets.add(session.vm());
      }
    }
    return targets;
  }

  /**
   * Removes the sessions that have lapsed.
   *
   * @param nowNs monotonic time
   * @return their VMs
   */
  public List<VmId> removeExpired(long nowNs) {
    List<VmId> lapsed = new ArrayList<>();
    Iterator<Session> all = sessions.values().iterator();
    while (all.hasNext()) {
      Session session = all.next();
      if (session.expiresAtNs() <= nowNs) {
        lapsed.add(session.vm());
        all.remove();
        if (session.isLagging()) {
          heldOff.put(session.vm(), session);
        }
      }
    }
    return lapsed;
  }

  /**
   * Tells which VMs may still serve under an older configuration.
   *
   * @param revision the configuration
   * @return the VMs with a session that haven't applied it
   */
  public List<VmId> findLagging(Revision revision) {
    return sessions.values().stream()
        .filter(session -> !session.hasApplied(revision))
        .map(Session::vm)
        .toList();
  }

  /**
   * Returns whether all sessions of older leaderships have lapsed, unless they came here.
   *
   * @param nowNs monotonic time
   * @return whether this leadership knows each VM that serves
   */
  public boolean havePriorSessionsExpired(long nowNs) {
    return nowNs >= settledAtNs;
  }

  /** Returns the session of a VM, if it has one. */
  public Optional<Session> find(VmId vm) {
    return Optional.ofNullable(sessions.get(vm));
  }

  /** Returns all sessions in the order of their VMs. */
  public Collection<Session> all() {
    return List.copyOf(sessions.values());
  }

  /**
   * Returns when something next changes by itself.
   *
   * @param nowNs monotonic time
   * @return the next lapse or the settling, or empty if there is none
   */
  public OptionalLong nextWakeupNs(long nowNs) {
    OptionalLong lapse = sessions.values().stream().mapToLong(Session::expiresAtNs).min();
    if (havePriorSessionsExpired(nowNs)) {
      return lapse;
    }
    return OptionalLong.of(Math.min(lapse.orElse(settledAtNs), settledAtNs));
  }

  /**
   * Guards against a VM that says hello but hangs over a new configuration: with each lapse it
   * would be given time anew, and so admit requests under the old one again and again. The time
   * counts on over the lapse, until it applies the accepted one or its process starts again.
   */
  private Session opened(Hello hello, long nowNs) {
    Session session = new Session(hello, nowNs + settings.expiryNs());
    Session before = heldOff.remove(hello.vm());
    if (before != null && before.incarnation().equals(hello.incarnation())) {
      session.inheritLag(before);
    }
    return session;
  }

  private boolean push(Session session, Revision accepted, long nowNs) {
    if (!session.needsPush(accepted, nowNs, settings.pushRetryMs() * NS_PER_MS)) {
      return false;
    }
    session.markPushed(accepted, nowNs);
    return true;
  }

  private static SessionChange life(Session present, Hello hello) {
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
