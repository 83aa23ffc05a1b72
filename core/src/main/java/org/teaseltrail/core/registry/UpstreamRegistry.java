package org.teaseltrail.core.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Holds the registrations of all upstreams; part of the replicated state.
 *
 * <p>Guards against work for an upstream that has left: a heartbeat that was delayed on its way
 * arrives after the upstream's leave was acknowledged, maybe at another leader. The guard: within
 * one life phases only move on and an older sequence changes nothing, those that have left are
 * remembered, and an earlier life changes nothing of a later one.
 */
public final class UpstreamRegistry {

  /** Upstreams that have left and are remembered; bounds the state's size over many releases. */
  private static final int MAX_GONE = 2_000;

  private final Map<UpstreamId, Registration> registrations = new LinkedHashMap<>();
  private long revision;

  /** Those that haven't left, as long as nothing changes; one list, so that it is told once. */
  private Optional<List<Registration>> present = Optional.empty();

  /**
   * Builds the book that a snapshot holds.
   *
   * @param revision number of changes so far
   * @param content the registrations, oldest first
   */
  public UpstreamRegistry(long revision, List<Registration> content) {
    this.revision = revision;
    content.forEach(registration -> registrations.put(registration.id(), registration));
  }

  /**
   * Tells whether a heartbeat would change anything but the sequence.
   *
   * @param heard the heartbeat
   * @return true if it must be committed
   */
  public boolean needsCommit(Registration heard) {
    Registration held = registrations.get(heard.id());
    if (isNewLife(held, heard)) {
      return true;
    }
    boolean outdated = heard.bornMs() < held.bornMs() || heard.sequence() < held.sequence();
    return !outdated && !merged(held, heard).hasSameContentAs(held);
  }

  /**
   * Takes a heartbeat in.
   *
   * @param heard the heartbeat
   */
  public void register(Registration heard) {
    if (!needsCommit(heard)) {
      return;
    }
    Registration held = registrations.get(heard.id());
    registrations.put(heard.id(), isNewLife(held, heard) ? heard : merged(held, heard));
    changed();
  }

  /**
   * Takes the leave of one life of an upstream in. One that is not known is remembered all the
   * same; one before the life that is known changes nothing.
   *
   * @param leaving what is known of it
   */
  public void deregister(Registration leaving) {
    Registration held = registrations.get(leaving.id());
    boolean sameLife = held != null && held.bornMs() == leaving.bornMs();
    boolean outdated = held != null && leaving.bornMs() < held.bornMs();
    if (outdated || (sameLife && held.phase() == RegistrationPhase.GONE)) {
      return;
    }
    Registration known = sameLife ? held : leaving;
    registrations.remove(leaving.id());
    registrations.put(leaving.id(), known.withPhase(RegistrationPhase.GONE));
    forgetOldest();
    changed();
  }

  /**
   * Drops an upstream that has fallen silent; its next heartbeat brings it back.
   *
   * @param id the upstream
   */
  public void removeSilent(UpstreamId id) {
    Registration held = registrations.get(id);
    if (held != null && held.phase() != RegistrationPhase.GONE) {
      registrations.remove(id);
      changed();
    }
  }

  /**
   * Finds a registration.
   *
   * @param id the upstream
   * @return the registration, of one that has left too
   */
  public Optional<Registration> find(UpstreamId id) {
    return Optional.ofNullable(registrations.get(id));
  }

  /**
   * Returns those that haven't left.
   *
   * @return registrations, oldest first
   */
  public List<Registration> present() {
    if (present.isEmpty()) {
      present = Optional.of(List.copyOf(filtered()));
    }
    return present.get();
  }

  /**
   * Returns all registrations.
   *
   * @return those that have left too, oldest first
   */
  public Collection<Registration> all() {
    return List.copyOf(registrations.values());
  }

  /**
   * Returns the number of changes so far.
   *
   * @return the revision
   */
  public long revision() {
    return revision;
  }

  private void changed() {
    revision++;
    present = Optional.empty();
  }

  private List<Registration> filtered() {
    return registrations.values().stream()
        .filter(registration -> registration.phase() != RegistrationPhase.GONE)
        .toList();
  }

  private static boolean isNewLife(Registration held, Registration heard) {
    return held == null || heard.bornMs() > held.bornMs();
  }

  private static Registration merged(Registration held, Registration heard) {
    boolean later = held.phase().compareTo(heard.phase()) > 0;
    return later ? heard.withPhase(held.phase()) : heard;
  }

  private void forgetOldest() {
    List<UpstreamId> gone = new ArrayList<>();
    registrations.forEach(
        (id, registration) -> {
          if (registration.phase() == RegistrationPhase.GONE) {
            gone.add(id);
          }
        });
    int excess = Math.max(0, gone.size() - MAX_GONE);
    gone.subList(0, excess).forEach(registrations::remove);
  }
}
