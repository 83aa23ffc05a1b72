package org.teaseltrail.core.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Registry of the registrations of all upstreams; part of the replicated state.
 *
 * <p>No request may be sent to an upstream that has deregistered, although a delayed heartbeat of
 * it may arrive after the deregistration was acknowledged, possibly at another leader. Therefore,
 * within one incarnation phases only move forward and a heartbeat with an older sequence number is
 * ignored, deregistered upstreams are remembered, and an earlier incarnation can't change the
 * registration of a later one.
 */
public final class UpstreamRegistry {

  /**
   * Maximum number of deregistered upstreams that are remembered; bounds the size of the replicated
   * state over many releases of the upstreams.
   */
  private static final int MAX_DEREGISTERED = 2_000;

  private final Map<UpstreamId, Registration> registrations = new LinkedHashMap<>();
  private long revision;

  /**
   * Cached list of the registered upstreams, empty after a change. Unchanged content is always the
   * same list object, so that it is sent only once.
   */
  private Optional<List<Registration>> present = Optional.empty();

  /**
   * Restores the registry from a snapshot.
   *
   * @param revision number of changes so far
   * @param content the registrations, oldest first
   */
  public UpstreamRegistry(long revision, List<Registration> content) {
    this.revision = revision;
    content.forEach(registration -> registrations.put(registration.id(), registration));
  }

  /**
   * Returns whether a heartbeat changes more than the sequence number and the remaining warm-up
   * time, so that it must be committed to the log.
   *
   * @param heard the heartbeat
   * @return true if it must be committed
   */
  public boolean needsCommit(Registration heard) {
    Registration held = registrations.get(heard.id());
    if (isNewIncarnation(held, heard)) {
      return true;
    }
    boolean outdated = heard.bornMs() < held.bornMs() || heard.sequence() < held.sequence();
    return !outdated && !merge(held, heard).hasSameContentAs(held);
  }

  /**
   * Applies a heartbeat.
   *
   * @param heard the heartbeat
   */
  public void register(Registration heard) {
    if (!needsCommit(heard)) {
      return;
    }
    Registration held = registrations.get(heard.id());
    registrations.put(heard.id(), isNewIncarnation(held, heard) ? heard : merge(held, heard));
    markChanged();
  }

  /**
   * Deregisters one incarnation of an upstream. An unknown incarnation is remembered as
   * deregistered, too; one that is older than the known incarnation is ignored.
   *
   * @param leaving the registration of the incarnation, as far as it is known
   */
  public void deregister(Registration leaving) {
    Registration held = registrations.get(leaving.id());
    boolean sameIncarnation = held != null && held.bornMs() == leaving.bornMs();
    boolean outdated = held != null && leaving.bornMs() < held.bornMs();
    if (outdated || (sameIncarnation && held.phase() == RegistrationPhase.GONE)) {
      return;
    }
    Registration known = sameIncarnation ? held : leaving;
    registrations.remove(leaving.id());
    registrations.put(leaving.id(), known.withPhase(RegistrationPhase.GONE));
    removeOldestDeregistered();
    markChanged();
  }

  /**
   * Removes an upstream that no longer sends heartbeats; its next heartbeat registers it again.
   *
   * @param id the upstream
   */
  public void removeSilent(UpstreamId id) {
    Registration held = registrations.get(id);
    if (held != null && held.phase() != RegistrationPhase.GONE) {
      registrations.remove(id);
      markChanged();
    }
  }

  /**
   * Finds a registration.
   *
   * @param id the upstream
   * @return the registration, also of a deregistered upstream
   */
  public Optional<Registration> find(UpstreamId id) {
    return Optional.ofNullable(registrations.get(id));
  }

  /**
   * Returns the registrations of upstreams that have not deregistered.
   *
   * @return registrations, oldest first
   */
  public List<Registration> present() {
    if (present.isEmpty()) {
      present = Optional.of(List.copyOf(filterPresent()));
    }
    return present.get();
  }

  /**
   * Returns all registrations.
   *
   * @return all of them, including deregistered upstreams, oldest first
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

  private void markChanged() {
    revision++;
    present = Optional.empty();
  }

  private List<Registration> filterPresent() {
    return registrations.values().stream()
        .filter(registration -> registration.phase() != RegistrationPhase.GONE)
        .toList();
  }

  private static boolean isNewIncarnation(Registration held, Registration heard) {
    return held == null || heard.bornMs() > held.bornMs();
  }

  /** Returns the heartbeat with the later one of both phases. */
  private static Registration merge(Registration held, Registration heard) {
    boolean keepPhase = held.phase().compareTo(heard.phase()) > 0;
    return keepPhase ? heard.withPhase(held.phase()) : heard;
  }

  private void removeOldestDeregistered() {
    List<UpstreamId> deregistered = new ArrayList<>();
    registrations.forEach(
        (id, registration) -> {
          if (registration.phase() == RegistrationPhase.GONE) {
            deregistered.add(id);
          }
        });
    int excess = Math.max(0, deregistered.size() - MAX_DEREGISTERED);
    deregistered.subList(0, excess).forEach(registrations::remove);
  }
}
