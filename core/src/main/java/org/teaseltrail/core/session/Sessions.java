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
import org.teaseltrail.core.session.HelloOutcome.Life;

/**
 * Holds the sessions of one leadership. A new leadership begins with none; VMs that an older leader
 * has welcomed may serve on under it for a session's lifetime, so what is said of all VMs is true
 * only after that.
 */
public final class Sessions {

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
  public Sessions(SessionSettings settings, long nowNs) {
    this.settings = settings;
    settledAtNs = nowNs + settings.lapseNs();
  }

  /**
   * Takes a hello.
   *
   * @param hello the hello
   * @param accepted the accepted revision
   * @param nowNs monotonic time
   * @return how to answer it
   */
  public HelloOutcome hello(Hello hello, Revision accepted, long nowNs) {
    Session present = sessions.get(hello.vm());
    Life life = life(present, hello);
    if (life == Life.STALE) {
      return new HelloOutcome(life, false, false);
    }
    Session session = life == Life.KEPT ? present : opened(hello, nowNs);
    session.heard(nowNs);
    session.apply(hello.appliedRevision());
    boolean welcome = session.behindNs(accepted, nowNs) <= settings.behindMs() * NS_PER_MS;
    boolean push = push(session, accepted, nowNs);
    if (welcome) {
      session.renew(nowNs + settings.lapseNs());
    } else if (life == Life.OPENED) {
      heldOff.put(hello.vm(), session);
      return new HelloOutcome(Life.HELD_OFF, false, push);
    }
    sessions.put(hello.vm(), session);
    return new HelloOutcome(life, welcome, push);
  }

  /**
   * Tells which sessions need a configuration that has just been accepted.
   *
   * @param accepted its revision
   * @param nowNs monotonic time
   * @return the VMs to send it to
   */
  public List<VmId> accepted(Revision accepted, long nowNs) {
    List<VmId> targets = new ArrayList<>();
    for (Session session : sessions.values()) {
      session.behindNs(accepted, nowNs);
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
  public List<VmId> lapse(long nowNs) {
    List<VmId> lapsed = new ArrayList<>();
    Iterator<Session> all = sessions.values().iterator();
    while (all.hasNext()) {
      Session session = all.next();
      if (session.lapsesAtNs() <= nowNs) {
        lapsed.add(session.vm());
        all.remove();
        if (session.isBehind()) {
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
  public List<VmId> behind(Revision revision) {
    return sessions.values().stream()
        .filter(session -> !session.applies(revision))
        .map(Session::vm)
        .toList();
  }

  /**
   * Returns whether all sessions of older leaderships have lapsed, unless they came here.
   *
   * @param nowNs monotonic time
   * @return whether this leadership knows each VM that serves
   */
  public boolean isSettled(long nowNs) {
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
    OptionalLong lapse = sessions.values().stream().mapToLong(Session::lapsesAtNs).min();
    if (isSettled(nowNs)) {
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
    Session session = new Session(hello, nowNs + settings.lapseNs());
    Session before = heldOff.remove(hello.vm());
    if (before != null && before.incarnation().equals(hello.incarnation())) {
      session.behindLike(before);
    }
    return session;
  }

  private boolean push(Session session, Revision accepted, long nowNs) {
    if (!session.wantsPush(accepted, nowNs, settings.pushRepeatMs() * NS_PER_MS)) {
      return false;
    }
    session.pushed(accepted, nowNs);
    return true;
  }

  private static Life life(Session present, Hello hello) {
    if (present == null) {
      return Life.OPENED;
    }
    int order = hello.incarnation().compareTo(present.incarnation());
    if (order == 0) {
      return Life.KEPT;
    }
    return order > 0 ? Life.REPLACED : Life.STALE;
  }
}
