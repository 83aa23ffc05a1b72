package org.teaseltrail.core.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.stream.StreamOrigin;

/**
 * Which versions the upstreams of each service have had recently; part of the replicated state.
 *
 * <p>Proves that a stream whose origin nobody knows can only have begun at one version. For that it
 * is enough to keep the two versions of each service that left last.
 */
public final class VersionHistory {

  /** Time after which no stream is left that began at a version which has left. */
  public static final long RETENTION_MS = 600_000;

  private static final int MAX_RETIRED = 2;

  /** Stands for the versions that left before the members kept a history. */
  private static final UpstreamVersion BEFORE_HISTORY = new UpstreamVersion("before-history");

  private final Map<ServiceId, List<RetiredVersion>> retired = new HashMap<>();

  /**
   * Restores the history from a snapshot.
   *
   * @param content the versions that have left, oldest first
   */
  public VersionHistory(List<RetiredVersion> content) {
    content.forEach(this::add);
  }

  /**
   * Creates the history that goes with a snapshot of an older program, which kept none: each
   * service may have had another version until then.
   *
   * @param registered the registrations of the snapshot
   * @param logTimeMs log time of the snapshot, in milliseconds
   * @return the history
   */
  public static VersionHistory unknown(Collection<Registration> registered, long logTimeMs) {
    return new VersionHistory(
        registered.stream()
            .map(Registration::service)
            .distinct()
            .map(service -> new RetiredVersion(service, Optional.of(BEFORE_HISTORY), logTimeMs))
            .toList());
  }

  /**
   * Records how a command changed the registration of one upstream.
   *
   * @param before the registration before, if there was one
   * @param after the registration after, if there is one
   * @param logTimeMs log time of the command, in milliseconds
   */
  public void onChange(
      Optional<Registration> before, Optional<Registration> after, long logTimeMs) {
    Optional<StreamOrigin> origin = before.filter(VersionHistory::serves).map(StreamOrigin::of);
    boolean remains = after.filter(VersionHistory::serves).map(StreamOrigin::of).equals(origin);
    if (origin.isPresent() && !remains) {
      removeExpired(logTimeMs);
      add(new RetiredVersion(origin.get().service(), origin.get().version(), logTimeMs));
    }
  }

  /**
   * Returns the only origin that a recent stream of a service can have.
   *
   * @param service the service
   * @param present the registered upstreams
   * @param logTimeMs current log time, in milliseconds
   * @return the origin, empty if the service has had several versions recently, or none
   */
  public Optional<StreamOrigin> onlyOrigin(
      ServiceId service, Collection<Registration> present, long logTimeMs) {
    Set<Optional<UpstreamVersion>> versions = new HashSet<>();
    present.stream()
        .filter(upstream -> upstream.service().equals(service))
        .map(Registration::version)
        .forEach(versions::add);
    retired.getOrDefault(service, List.of()).stream()
        .filter(one -> logTimeMs - one.logTimeMs() <= RETENTION_MS)
        .map(RetiredVersion::version)
        .forEach(versions::add);
    return versions.size() == 1
        ? Optional.of(new StreamOrigin(service, versions.iterator().next()))
        : Optional.empty();
  }

  /**
   * Returns the services that have had several versions recently.
   *
   * @param present the registered upstreams
   * @param logTimeMs current log time, in milliseconds
   * @return the services, in the order of their names
   */
  public List<ServiceId> mixedServices(Collection<Registration> present, long logTimeMs) {
    Map<String, ServiceId> services = new HashMap<>();
    present.forEach(upstream -> services.put(upstream.service().value(), upstream.service()));
    return new TreeSet<>(services.keySet())
        .stream()
            .map(services::get)
            .filter(service -> onlyOrigin(service, present, logTimeMs).isEmpty())
            .toList();
  }

  /**
   * Returns the history for a snapshot.
   *
   * @return the versions that have left, those of each service oldest first
   */
  public List<RetiredVersion> all() {
    return retired.entrySet().stream()
        .sorted(Map.Entry.comparingByKey((one, other) -> one.value().compareTo(other.value())))
        .flatMap(entry -> entry.getValue().stream())
        .toList();
  }

  private void add(RetiredVersion latest) {
    List<RetiredVersion> ofService =
        retired.computeIfAbsent(latest.service(), service -> new ArrayList<>());
    ofService.removeIf(one -> one.version().equals(latest.version()));
    ofService.add(latest);
    if (ofService.size() > MAX_RETIRED) {
      ofService.remove(0);
    }
  }

  private void removeExpired(long logTimeMs) {
    retired
        .values()
        .removeIf(
            ofService -> {
              ofService.removeIf(one -> logTimeMs - one.logTimeMs() > RETENTION_MS);
              return ofService.isEmpty();
            });
  }

  private static boolean serves(Registration upstream) {
    return upstream.phase() != RegistrationPhase.GONE;
  }
}
