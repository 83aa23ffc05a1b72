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

/** Is this VM's part in one rollout: what it may send to the ordered version, and what it saw. */
final class CanaryTracker {

  private final Rollout rollout;
  private final ObservationBuffer observations = new ObservationBuffer();
  private long reached;
  private long exposed;
  private long ceiling;
  private long lentUntilNs;
  private List<UpstreamId> targets = List.of();
  private FencingNumber heardBy = new FencingNumber(0);
  private long heard;

  CanaryTracker(Rollout rollout) {
    this.rollout = rollout;
  }

  /** Tells whether this is the part in a rollout, whatever its phase. */
  boolean belongsTo(Rollout other) {
    return rollout.order().service().equals(other.order().service())
        && rollout.orderedMs() == other.orderedMs();
  }

  /** Takes what the leader lends until a time. */
  void lent(CanaryAllowance loan, FencingNumber leadership, long untilNs) {
    if (loan.orderedMs() == rollout.orderedMs()) {
      heardBy = leadership;
      heard = loan.heard();
      observations.heard(heard);
      ceiling = loan.ceiling();
      lentUntilNs = untilNs;
      targets = loan.upstreams();
    }
  }

  /** Returns the upstreams that a request may go to as a canary; none without a loan. */
  List<UpstreamId> targets(long nowNs) {
    return exposed < ceiling && nowNs < lentUntilNs ? targets : List.of();
  }

  /** Counts a request that is sent to an upstream of the service. */
  void recordSent(UpstreamState view) {
    exposed += isOrdered(view) ? 1 : 0;
  }

  /** Counts a request that has reached its upstream. */
  void reached() {
    reached++;
  }

  /** Notes what a request's answer showed. */
  void recordObservation(ActiveRequest request, UpstreamState view, Symptom symptom, int value) {
    int tokens = request.request().promptTokens().orElse(0);
    observations.add(
        new Observation(
            request.route().id(),
            view.registration().id(),
            isOrdered(view),
            symptom,
            Observation.sizeBucketOf(tokens),
            value));
  }

  /** Returns what the leader of a leadership is to be told. */
  RolloutReport createReport(FencingNumber leadership, long nowNs) {
    long from = leadership.equals(heardBy) ? heard : 0;
    boolean lent = nowNs < lentUntilNs;
    return new RolloutReport(
        rollout.order().service(),
        rollout.orderedMs(),
        reached,
        exposed,
        lent ? Math.max(ceiling, exposed) : exposed,
        observations.firstAvailableFrom(from),
        observations.from(from));
  }

  private boolean isOrdered(UpstreamState view) {
    return rollout.isTargetVersion(view.registration().version());
  }
}
