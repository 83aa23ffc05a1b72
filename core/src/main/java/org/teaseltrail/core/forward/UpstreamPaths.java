package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.relay.PathListener;
import org.teaseltrail.core.relay.PathMonitor;
import org.teaseltrail.core.relay.ProbeExecutor;
import org.teaseltrail.core.relay.ProbeKind;
import org.teaseltrail.core.relay.ProbeResult;

/** Connects a {@link PathMonitor} with the registered upstreams and this VM's actions. */
final class UpstreamPaths implements PathMonitor.UpstreamView, PathListener, ProbeExecutor {

  private final UpstreamTracker upstreams;
  private final Function<ServiceId, Optional<String>> healthPaths;
  private final Consumer<ForwardAction> actions;
  private final PathMonitor monitor;
  private final boolean isEnabled;
  private final List<PathListener> listeners = new ArrayList<>();

  /**
   * Creates the paths to the registered upstreams.
   *
   * @param isEnabled whether the paths are monitored; otherwise they always count as intact
   * @param healthPaths returns the path of a service's health check, if it is known
   */
  UpstreamPaths(
      boolean isEnabled,
      UpstreamTracker upstreams,
      Function<ServiceId, Optional<String>> healthPaths,
      RandomGenerator random,
      Consumer<ForwardAction> actions) {
    this.isEnabled = isEnabled;
    this.upstreams = upstreams;
    this.healthPaths = healthPaths;
    this.actions = actions;
    monitor = new PathMonitor(this, random, this, this);
  }

  /** Adds a listener for lost and regained paths. */
  void addListener(PathListener listener) {
    listeners.add(listener);
  }

  /** Returns whether the paths are monitored. */
  boolean isEnabled() {
    return isEnabled;
  }

  boolean isLost(ServiceId service) {
    return monitor.isLost(service);
  }

  /** Returns whether the paths of any service are lost. */
  boolean hasLost() {
    return monitor.hasLost();
  }

  /** Returns whether nothing has been heard from any upstream of a lost service recently. */
  boolean isSilent(ServiceId service, long nowNs) {
    return monitor.isLost(service) && monitor.isSilent(service, nowNs);
  }

  /** Returns the services of which this VM reaches no upstream. */
  List<ServiceId> lostServices() {
    return monitor.lostServices();
  }

  void onHeard(UpstreamId upstream) {
    serviceOf(upstream).ifPresent(monitor::onHeard);
  }

  void onConnected(UpstreamId upstream, long nowNs) {
    serviceOf(upstream).ifPresent(service -> monitor.onConnected(service, nowNs));
  }

  void onConnectionFailure(UpstreamId upstream, long nowNs) {
    serviceOf(upstream).ifPresent(service -> monitor.onConnectionFailure(service, nowNs));
  }

  void onConnectionBroken(UpstreamId upstream, long nowNs) {
    serviceOf(upstream).ifPresent(service -> monitor.onConnectionBroken(service, nowNs));
  }

  /** Records that a request is about to be sent to an upstream. */
  void onDispatch(UpstreamState upstream, long nowNs) {
    if (!isEnabled) {
      return;
    }
    ServiceId service = upstream.registration().service();
    boolean isFirst = upstream.ownInFlight() == 0 && !isWaiting(service);
    monitor.onDispatch(service, isFirst, nowNs);
  }

  void onProbeEnded(UpstreamId upstream, ProbeResult result, long nowNs) {
    serviceOf(upstream)
        .ifPresent(service -> monitor.onProbeEnded(service, upstream, result, nowNs));
  }

  void tick(long nowNs) {
    monitor.tick(nowNs);
  }

  @Override
  public List<UpstreamId> candidates(ServiceId service) {
    return upstreams.of(service).stream()
        .map(UpstreamState::registration)
        .filter(upstream -> upstream.phase() == RegistrationPhase.READY)
        .map(Registration::id)
        .toList();
  }

  @Override
  public Set<ServiceId> services() {
    return upstreams.services();
  }

  @Override
  public boolean isWaiting(ServiceId service) {
    return upstreams.of(service).stream().anyMatch(upstream -> upstream.ownInFlight() > 0);
  }

  @Override
  public boolean hasHealthCheck(ServiceId service) {
    return healthPaths.apply(service).isPresent();
  }

  @Override
  public void probe(List<UpstreamId> probed, ProbeKind kind) {
    for (UpstreamId id : probed) {
      Registration upstream = upstreams.find(id).orElseThrow().registration();
      actions.accept(
          new ForwardAction.Probe(upstream, kind, healthPaths.apply(upstream.service())));
    }
  }

  @Override
  public void onPathLost(ServiceId service, long nowNs) {
    actions.accept(pathChanged(service, true));
    listeners.forEach(listener -> listener.onPathLost(service, nowNs));
  }

  @Override
  public void onPathRegained(ServiceId service, long nowNs) {
    actions.accept(pathChanged(service, false));
    listeners.forEach(listener -> listener.onPathRegained(service, nowNs));
  }

  @Override
  public void onPathVerified(ServiceId service, long startedNs, long nowNs) {
    listeners.forEach(listener -> listener.onPathVerified(service, startedNs, nowNs));
  }

  private ForwardAction.PathChanged pathChanged(ServiceId service, boolean isLost) {
    return new ForwardAction.PathChanged(
        service,
        isLost,
        upstreams.of(service).stream()
            .map(upstream -> upstream.registration().upstreamIncarnation())
            .toList());
  }

  /** Returns the service of an upstream whose paths are monitored. */
  private Optional<ServiceId> serviceOf(UpstreamId upstream) {
    return isEnabled
        ? upstreams.find(upstream).map(state -> state.registration().service())
        : Optional.empty();
  }
}
