package org.teaseltrail.core.forward;

import java.util.List;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.rollout.CanaryAllowance;
import org.teaseltrail.core.rollout.Observation;
import org.teaseltrail.core.rollout.ObservationBuffer;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutReport;
import org.teaseltrail.core.rollout.Symptom;

/**
 * Tracks one rollout at this VM: the canary allowance, which limits the requests that the VM may
 * send to the target version, and the observations to be reported to the leader.
 */
final class CanaryTracker {

  private final Rollout rollout;
  private final ObservationBuffer observations = new ObservationBuffer();
  private long reached;
  private long exposed;
  private long ceiling;
  private long allowanceExpiryNs;
  private List<UpstreamId> targets = List.of();
  private FencingNumber allowanceLeadership = new FencingNumber(0);
  private long heard;

  CanaryTracker(Rollout rollout) {
    this.rollout = rollout;
  }

  /** Returns whether this object tracks the given rollout, whatever its phase. */
  boolean belongsTo(Rollout other) {
    return rollout.order().service().equals(other.order().service())
        && rollout.orderedMs() == other.orderedMs();
  }

  /** Applies the leader's canary allowance, which expires at the given time. */
  void lent(CanaryAllowance allowance, FencingNumber leadership, long expiryNs) {
    if (allowance.orderedMs() == rollout.orderedMs()) {
      allowanceLeadership = leadership;
      heard = allowance.heard();
      observations.heard(heard);
      ceiling = allowance.ceiling();
      allowanceExpiryNs = expiryNs;
      targets = allowance.upstreams();
    }
  }

  /** Returns the upstreams that a request may be sent to as a canary; none without an allowance. */
  List<UpstreamId> targets(long nowNs) {
    return exposed < ceiling && nowNs < allowanceExpiryNs ? targets : List.of();
  }

  /** Counts a request that is sent to an upstream of the service. */
  void recordSent(UpstreamState upstream) {
    exposed += isTargetVersion(upstream) ? 1 : 0;
  }

  /** Counts a request that has reached its upstream. */
  void reached() {
    reached++;
  }

  /** Records an observation from a request's response. */
  void recordObservation(
      ActiveRequest request, UpstreamState upstream, Symptom symptom, int value) {
    int tokens = request.request().promptTokens().orElse(0);
    observations.add(
        new Observation(
            request.route().id(),
            upstream.registration().id(),
            isTargetVersion(upstream),
            symptom,
            Observation.sizeBucketOf(tokens),
            value));
  }

  /** Returns the report for the leader of a leadership. */
  RolloutReport createReport(FencingNumber leadership, long nowNs) {
    long from = leadership.equals(allowanceLeadership) ? heard : 0;
    boolean lent = nowNs < allowanceExpiryNs;
    return new RolloutReport(
        rollout.order().service(),
        rollout.orderedMs(),
        reached,
        exposed,
        lent ? Math.max(ceiling, exposed) : exposed,
        observations.firstAvailableFrom(from),
        observations.from(from));
  }

  private boolean isTargetVersion(UpstreamState upstream) {
    return rollout.isTargetVersion(upstream.registration().version());
  }
}
