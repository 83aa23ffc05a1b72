package org.teaseltrail.core.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Detects services whose upstreams this VM can't reach, though they may be healthy.
 *
 * <p>Failed connections and silence of all upstreams only raise a suspicion: upstreams crash, and
 * one may be silent for a second. Then some upstreams are probed without a caller's request; the
 * paths count as lost if none of the probes passes, and as regained with the first that passes.
 * While paths are lost, probes are repeated. Nothing is probed while requests are answered.
 */
public final class PathMonitor {

  /** Provides what the monitor needs to know of the services' upstreams. */
  public interface UpstreamView {

    /**
     * Returns the upstreams of a service that accept requests.
     *
     * @param service the service
     * @return their ids
     */
    List<UpstreamId> candidates(ServiceId service);

    /**
     * Returns the services that have registered upstreams.
     *
     * @return the services
     */
    Set<ServiceId> services();

    /**
     * Returns whether a request of this VM is at any upstream of a service.
     *
     * @param service the service
     * @return true if one is
     */
    boolean isWaiting(ServiceId service);

    /**
     * Returns whether upstreams of a service can be sent a health check.
     *
     * @param service the service
     * @return true if its health check is known
     */
    boolean hasHealthCheck(ServiceId service);
  }

  private final UpstreamView upstreams;
  private final RandomGenerator random;
  private final ProbeExecutor prober;
  private final PathListener listener;
  private final Map<ServiceId, ServicePath> paths = new HashMap<>();

  /**
   * Creates a monitor that takes all paths for intact.
   *
   * @param upstreams the services' upstreams
   * @param random source of the choice of the upstreams to probe
   * @param prober carries out the probes
   * @param listener receives the findings
   */
  public PathMonitor(
      UpstreamView upstreams, RandomGenerator random, ProbeExecutor prober, PathListener listener) {
    this.upstreams = upstreams;
    this.random = random;
    this.prober = prober;
    this.listener = listener;
  }

  /**
   * Returns whether this VM reaches no upstream of a service.
   *
   * @param service the service
   * @return true from the moment at which no probe has passed until one passes
   */
  public boolean isLost(ServiceId service) {
    ServicePath path = paths.get(service);
    return path != null && path.isLost();
  }

  /**
   * Returns whether this VM has lost the paths to any service.
   *
   * @return false if it reaches an upstream of each
   */
  public boolean hasLost() {
    return paths.values().stream().anyMatch(ServicePath::isLost);
  }

  /**
   * Returns whether no upstream of a service has given a sign of life recently.
   *
   * @param service the service
   * @param nowNs current time, in nanoseconds
   * @return false if answers still arrive, as over connections that outlive the loss of new ones
   */
  public boolean isSilent(ServiceId service, long nowNs) {
    return path(service).isSilent(nowNs);
  }

  /**
   * Returns the services of which this VM reaches no upstream.
   *
   * @return the services, in a fixed order
   */
  public List<ServiceId> lostServices() {
    return sorted(paths.keySet()).stream().filter(this::isLost).toList();
  }

  /**
   * Records that bytes of a response arrived from an upstream of a service.
   *
   * @param service the service
   */
  public void onHeard(ServiceId service) {
    path(service).recordHeard();
  }

  /**
   * Records that a new connection to an upstream of a service was established.
   *
   * @param service the service
   * @param nowNs current time, in nanoseconds
   */
  public void onConnected(ServiceId service, long nowNs) {
    path(service).recordConnected(nowNs);
  }

  /**
   * Records that a request is sent to an upstream of a service.
   *
   * @param service the service
   * @param isFirst whether no other request of this VM is at an upstream of the service
   * @param nowNs current time, in nanoseconds
   */
  public void onDispatch(ServiceId service, boolean isFirst, long nowNs) {
    path(service).recordDispatch(isFirst, nowNs);
  }

  /**
   * Records that a connection to an upstream of a service could not be established.
   *
   * @param service the service
   * @param nowNs current time, in nanoseconds
   */
  public void onConnectionFailure(ServiceId service, long nowNs) {
    path(service).recordConnectionFailure(nowNs);
    probeIfDue(service, nowNs);
  }

  /**
   * Records that an established connection to an upstream of a service ended without an orderly
   * close.
   *
   * @param service the service
   * @param nowNs current time, in nanoseconds
   */
  public void onConnectionBroken(ServiceId service, long nowNs) {
    path(service).recordConnectionBroken(upstreams.hasHealthCheck(service), nowNs);
    probeIfDue(service, nowNs);
  }

  /**
   * Handles the result of a probe.
   *
   * @param service the service of the upstream
   * @param upstream the upstream
   * @param result the result
   * @param nowNs current time, in nanoseconds
   */
  public void onProbeEnded(ServiceId service, UpstreamId upstream, ProbeResult result, long nowNs) {
    ServicePath path = path(service);
    boolean wasInRound = path.isInRound();
    if (path.recordResult(upstream, result, nowNs)) {
      notifyChanged(service, nowNs);
    }
    if (wasInRound && !path.isInRound()) {
      if (!path.isLost()) {
        listener.onPathVerified(service, path.roundStartedNs(), nowNs);
      }
      probeIfDue(service, nowNs);
    }
  }

  /**
   * Starts the probes that are due. To be called several times per second.
   *
   * @param nowNs current time, in nanoseconds
   */
  public void tick(long nowNs) {
    Set<ServiceId> present = upstreams.services();
    for (ServiceId service : sorted(paths.keySet())) {
      ServicePath path = paths.get(service);
      path.checkSilence(upstreams.isWaiting(service), upstreams.hasHealthCheck(service), nowNs);
      if (path.expireRound(nowNs)) {
        notifyChanged(service, nowNs);
      }
      if (present.contains(service)) {
        probeIfDue(service, nowNs);
      } else {
        paths.remove(service);
      }
    }
  }

  private static List<ServiceId> sorted(Set<ServiceId> services) {
    return services.stream().sorted(Comparator.comparing(ServiceId::value)).toList();
  }

  private ServicePath path(ServiceId service) {
    return paths.computeIfAbsent(service, key -> new ServicePath());
  }

  private void notifyChanged(ServiceId service, long nowNs) {
    if (!isLost(service)) {
      listener.onPathRegained(service, nowNs);
      return;
    }
    listener.onPathLost(service, nowNs);
    for (ServiceId other : sorted(upstreams.services())) {
      if (!other.equals(service) && !isLost(other)) {
        path(other).recordLossElsewhere();
        probeIfDue(other, nowNs);
      }
    }
  }

  private void probeIfDue(ServiceId service, long nowNs) {
    Optional<ProbeKind> kind = path(service).dueProbes(nowNs);
    if (kind.isEmpty()) {
      return;
    }
    List<UpstreamId> candidates = new ArrayList<>(upstreams.candidates(service));
    candidates.removeAll(path(service).outstanding());
    if (candidates.isEmpty()) {
      return;
    }
    Collections.shuffle(candidates, new Random(random.nextLong()));
    int count = Math.min(kind.get().maxUpstreams(), candidates.size());
    List<UpstreamId> probed = List.copyOf(candidates.subList(0, count));
    path(service).startRound(kind.get(), probed, nowNs);
    prober.probe(probed, kind.get());
  }
}
