package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.relay.ProbeKind;
import org.teaseltrail.core.relay.ProbeResult;

/** Tests when an upstream gets callers' requests again after a connection to it has failed. */
class ReadmissionProberTest {

  private static final long NS_PER_MS = 1_000_000L;

  /** Longer than any ejection. */
  private static final long EJECTION_OVER_NS = 4_000 * NS_PER_MS;

  private final Registration engine = ForwardSamples.upstream("e1", TestPlans.ENGINES, 4);
  private final List<ForwardAction> actions = new ArrayList<>();
  private final UpstreamTracker upstreams = new UpstreamTracker();
  private final ReadmissionProber prober = prober(true);

  private ReadmissionProber prober(boolean monitorsPaths) {
    upstreams.update(1, List.of(engine));
    return new ReadmissionProber(
        upstreams,
        new UpstreamPaths(
            monitorsPaths,
            upstreams,
            service -> Optional.empty(),
            new SplittableRandom(1),
            actions::add));
  }

  private UpstreamState state() {
    return upstreams.find(engine.id()).orElseThrow();
  }

  private void fail(ReadmissionProber by, AttemptOutcome outcome, long nowNs) {
    state().recordSent();
    state().recordOutcome(outcome, nowNs);
    by.recordOutcome(state(), outcome);
  }

  /** Guards against callers' requests that are sent to find out whether an upstream is back. */
  @Test
  void requestsFollowOnlyAfterProbe() {
    fail(prober, AttemptOutcome.BROKEN, 0);
    prober.tick(0);
    assertThat(actions).as("during the ejection").isEmpty();
    prober.tick(EJECTION_OVER_NS);
    prober.tick(EJECTION_OVER_NS + 1);
    assertThat(actions)
        .containsExactly(new ForwardAction.Probe(engine, ProbeKind.CONNECT, Optional.empty()));
    assertThat(state().isEligible(EJECTION_OVER_NS)).isFalse();
    prober.onProbeEnded(engine.id(), ProbeResult.CONNECTED, EJECTION_OVER_NS);
    assertThat(state().isEligible(EJECTION_OVER_NS)).isTrue();
  }

  /** Guards against requests to an upstream that is still out of reach. */
  @Test
  void failedProbeExtendsEjection() {
    fail(prober, AttemptOutcome.NOT_CONNECTED, 0);
    prober.tick(EJECTION_OVER_NS);
    prober.onProbeEnded(engine.id(), ProbeResult.FAILED, EJECTION_OVER_NS);
    assertThat(state().isEligible(EJECTION_OVER_NS + 1)).isFalse();
    prober.tick(EJECTION_OVER_NS + 1);
    assertThat(actions).hasSize(1);
    prober.tick(2 * EJECTION_OVER_NS);
    assertThat(actions).hasSize(2);
  }

  /** Guards against an upstream that stays ejected because the result of a probe is missing. */
  @Test
  void probeWithoutResultIsRepeated() {
    fail(prober, AttemptOutcome.BROKEN, 0);
    prober.tick(EJECTION_OVER_NS);
    prober.tick(2 * EJECTION_OVER_NS);
    assertThat(actions).hasSize(2);
  }

  /** Guards against an upstream that stays ejected although requests there are answered. */
  @Test
  void answerReadmitsWithoutProbe() {
    fail(prober, AttemptOutcome.BROKEN, 0);
    state().recordSent();
    state().recordOutcome(AttemptOutcome.ANSWERED, 1);
    assertThat(state().isEligible(2)).isTrue();
    prober.tick(EJECTION_OVER_NS);
    assertThat(actions).isEmpty();
  }

  /** Guards against an upstream that nothing probes and that stays ejected for good. */
  @Test
  void ejectionEndsByItselfWherePathsAreNotMonitored() {
    ReadmissionProber unmonitored = prober(false);
    fail(unmonitored, AttemptOutcome.BROKEN, 0);
    unmonitored.tick(EJECTION_OVER_NS);
    assertThat(actions).isEmpty();
    assertThat(state().isEligible(EJECTION_OVER_NS)).isTrue();
  }

  /** Guards against more connections at once than a VM can spare when many upstreams fail. */
  @Test
  void fewUpstreamsAreProbedAtOnce() {
    List<Registration> many = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      many.add(ForwardSamples.upstream("many-" + i, TestPlans.ENGINES, 4));
    }
    upstreams.update(2, many);
    for (Registration upstream : many) {
      UpstreamState state = upstreams.find(upstream.id()).orElseThrow();
      state.recordSent();
      state.recordOutcome(AttemptOutcome.NOT_CONNECTED, 0);
      prober.recordOutcome(state, AttemptOutcome.NOT_CONNECTED);
    }
    prober.tick(EJECTION_OVER_NS);
    assertThat(actions).hasSize(ReadmissionProber.MAX_PROBES_AT_ONCE);
    for (int i = 1; i < 100; i++) {
      prober.tick(EJECTION_OVER_NS + i);
    }
    assertThat(actions).hasSize(100).doesNotHaveDuplicates();
  }
}
