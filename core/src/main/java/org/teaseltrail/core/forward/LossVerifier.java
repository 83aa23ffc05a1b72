package org.teaseltrail.core.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.PartFeature;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.relay.ProbeKind;
import org.teaseltrail.core.relay.ProbeResult;
import org.teaseltrail.core.suspect.QuarantineTracker;

/**
 * Keeps broken connections back from the quarantine until it is known that the upstream was lost
 * and neither this VM's paths nor just the connection.
 *
 * <p>After a loss, some round of probes has to find a path to the service. Then the upstream itself
 * is probed: the loss is passed on if that fails, and dropped if it passes. Without that a VM whose
 * connections break would quarantine, for all VMs, whatever it happened to send.
 */
final class LossVerifier {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time after which a loss is dropped if there has been no path since. */
  private static final long RETENTION_NS = 30_000 * NS_PER_MS;

  /** Maximum number of losses that are kept back; the oldest are dropped beyond. */
  private static final int MAX_UNVERIFIED = 256;

  /** Loss that is not verified yet. */
  private record UnverifiedLoss(
      Fingerprint request,
      Optional<CustomerId> customer,
      List<PartFeature> parts,
      UpstreamIncarnation upstream,
      ServiceId service,
      long atNs) {

    private boolean hasContentOf(ActiveRequest other) {
      return request.scope() == other.scope() && request.equals(other.fingerprint());
    }
  }

  private final QuarantineTracker quarantine;
  private final UpstreamTracker upstreams;
  private final UpstreamPaths paths;
  private final List<UnverifiedLoss> unverified = new ArrayList<>();
  private final List<UnverifiedLoss> probed = new ArrayList<>();

  LossVerifier(QuarantineTracker quarantine, UpstreamTracker upstreams, UpstreamPaths paths) {
    this.quarantine = quarantine;
    this.upstreams = upstreams;
    this.paths = paths;
  }

  /** Records that the connection to an upstream ended while it processed a request. */
  void recordLoss(ActiveRequest request, UpstreamIncarnation upstream, long nowNs) {
    UnverifiedLoss loss =
        new UnverifiedLoss(
            request.fingerprint(),
            request.customer(),
            request.parts(),
            upstream,
            request.service(),
            nowNs);
    if (!paths.isEnabled()) {
      passOn(loss, nowNs);
      return;
    }
    unverified.add(loss);
    if (unverified.size() > MAX_UNVERIFIED) {
      unverified.remove(0);
    }
  }

  /** Records that an upstream completed a request, which shows that it is harmless. */
  void recordCompleted(ActiveRequest request, long nowNs) {
    unverified.removeIf(loss -> loss.hasContentOf(request));
    probed.removeIf(loss -> loss.hasContentOf(request));
    quarantine.recordCompleted(request, nowNs);
  }

  /** Probes the upstreams that were lost before a round of probes which has found a path. */
  void onPathVerified(ServiceId service, long startedNs, long nowNs) {
    Set<UpstreamId> toProbe = new HashSet<>();
    Iterator<UnverifiedLoss> all = unverified.iterator();
    while (all.hasNext()) {
      UnverifiedLoss loss = all.next();
      if (!loss.service().equals(service) || loss.atNs() > startedNs) {
        continue;
      }
      all.remove();
      if (isRegistered(loss.upstream())) {
        probed.add(loss);
        toProbe.add(loss.upstream().id());
      } else {
        passOn(loss, nowNs);
      }
    }
    paths.probe(List.copyOf(toProbe), ProbeKind.CONNECT);
  }

  /** Handles the result of a probe of any upstream. */
  void onProbeEnded(UpstreamId upstream, ProbeResult result, long nowNs) {
    Iterator<UnverifiedLoss> all = probed.iterator();
    while (all.hasNext()) {
      UnverifiedLoss loss = all.next();
      if (loss.upstream().id().equals(upstream)) {
        all.remove();
        if (result == ProbeResult.FAILED) {
          passOn(loss, nowNs);
        }
      }
    }
  }

  /** Drops old losses. */
  void tick(long nowNs) {
    unverified.removeIf(loss -> nowNs - loss.atNs() > RETENTION_NS);
    probed.removeIf(loss -> nowNs - loss.atNs() > RETENTION_NS);
  }

  private boolean isRegistered(UpstreamIncarnation upstream) {
    return upstreams
        .find(upstream.id())
        .filter(state -> state.registration().upstreamIncarnation().equals(upstream))
        .isPresent();
  }

  private void passOn(UnverifiedLoss loss, long nowNs) {
    quarantine.recordLoss(loss.request(), loss.customer(), loss.upstream(), loss.atNs(), nowNs);
    for (PartFeature part : loss.parts()) {
      quarantine.recordPartLoss(part, loss.upstream(), loss.atNs(), nowNs);
    }
  }
}
