package org.teaseltrail.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/** Tests when a VM takes the paths to a service for lost, and when for regained. */
class PathMonitorTest {

  private static final ServiceId SERVICE = new ServiceId("s");
  private static final ServiceId OTHER = new ServiceId("t");
  private static final long MS = 1_000_000L;

  private final List<UpstreamId> probed = new ArrayList<>();
  private final List<ServiceId> lost = new ArrayList<>();
  private final List<ServiceId> regained = new ArrayList<>();
  private final List<Long> verifiedSinceNs = new ArrayList<>();
  private ProbeKind kind;
  private boolean waiting;
  private long nowNs = 10_000 * MS;

  private final PathMonitor monitor =
      new PathMonitor(
          new PathMonitor.UpstreamView() {
            @Override
            public List<UpstreamId> candidates(ServiceId service) {
              return service.equals(SERVICE)
                  ? List.of(new UpstreamId("a"), new UpstreamId("b"), new UpstreamId("c"))
                  : List.of(new UpstreamId("x"));
            }

            @Override
            public Set<ServiceId> services() {
              return Set.of(SERVICE, OTHER);
            }

            @Override
            public boolean isWaiting(ServiceId service) {
              return waiting && service.equals(SERVICE);
            }

            @Override
            public boolean hasHealthCheck(ServiceId service) {
              return true;
            }
          },
          new SplittableRandom(1),
          (upstreams, probeKind) -> {
            probed.clear();
            probed.addAll(upstreams);
            kind = probeKind;
          },
          new PathListener() {
            @Override
            public void onPathLost(ServiceId service, long atNs) {
              lost.add(service);
            }

            @Override
            public void onPathVerified(ServiceId service, long startedNs, long atNs) {
              verifiedSinceNs.add(startedNs);
            }

            @Override
            public void onPathRegained(ServiceId service, long atNs) {
              regained.add(service);
            }
          });

  private void tickAfterMs(long ms) {
    nowNs += ms * MS;
    monitor.tick(nowNs);
  }

  private void endProbes(ServiceId service, ProbeResult result) {
    for (UpstreamId upstream : List.copyOf(probed)) {
      monitor.onProbeEnded(service, upstream, result, nowNs);
    }
  }

  private void lose() {
    monitor.onConnectionFailure(SERVICE, nowNs);
    endProbes(SERVICE, ProbeResult.FAILED);
  }

  @Test
  void failedConnectionOnlyLeadsToProbesOfOtherUpstreams() {
    monitor.onConnectionFailure(SERVICE, nowNs);
    assertThat(probed).hasSize(3);
    assertThat(kind).isEqualTo(ProbeKind.CONNECT);
    assertThat(monitor.isLost(SERVICE)).isFalse();
  }

  /** Guards against a crashed upstream that makes a VM give up the healthy ones. */
  @Test
  void oneProbeThatPassesShowsThatThereIsPath() {
    monitor.onConnectionFailure(SERVICE, nowNs);
    monitor.onProbeEnded(SERVICE, probed.get(0), ProbeResult.FAILED, nowNs);
    monitor.onProbeEnded(SERVICE, probed.get(1), ProbeResult.CONNECTED, nowNs);
    monitor.onProbeEnded(SERVICE, probed.get(2), ProbeResult.FAILED, nowNs);
    assertThat(lost).isEmpty();
  }

  @Test
  void pathIsLostWhenNoProbePasses() {
    lose();
    assertThat(lost).containsExactly(SERVICE);
    assertThat(monitor.lostServices()).containsExactly(SERVICE);
  }

  /** Guards against callers who find out for each service anew that their VM has no path. */
  @Test
  void lossOfOneServiceLeadsToProbesOfOthers() {
    lose();
    assertThat(probed).containsExactly(new UpstreamId("x"));
    endProbes(OTHER, ProbeResult.FAILED);
    assertThat(monitor.lostServices()).containsExactly(SERVICE, OTHER);
  }

  @Test
  void lostPathIsProbedUntilOneProbePasses() {
    lose();
    endProbes(OTHER, ProbeResult.CONNECTED);
    tickAfterMs(250);
    endProbes(SERVICE, ProbeResult.FAILED);
    tickAfterMs(250);
    assertThat(regained).isEmpty();
    monitor.onProbeEnded(SERVICE, probed.get(0), ProbeResult.CONNECTED, nowNs);
    assertThat(regained).containsExactly(SERVICE);
  }

  /** Guards against a healthy upstream that is silent for a second being taken for lost. */
  @Test
  void silenceOfOneSecondLeadsToHealthChecksOnly() {
    waiting = true;
    monitor.onDispatch(SERVICE, true, nowNs);
    tickAfterMs(900);
    assertThat(probed).isEmpty();
    tickAfterMs(250);
    assertThat(kind).isEqualTo(ProbeKind.ANSWER);
    monitor.onProbeEnded(SERVICE, probed.get(0), ProbeResult.ANSWERED, nowNs);
    assertThat(lost).isEmpty();
    tickAfterMs(500);
    assertThat(monitor.isLost(SERVICE)).isFalse();
  }

  /** Guards against connections that are accepted although nothing reaches the upstreams. */
  @Test
  void acceptedButUnansweredProbesLosePathUntilOneIsAnswered() {
    waiting = true;
    monitor.onDispatch(SERVICE, true, nowNs);
    tickAfterMs(1_200);
    endProbes(SERVICE, ProbeResult.CONNECTED);
    assertThat(lost).containsExactly(SERVICE);
    endProbes(OTHER, ProbeResult.ANSWERED);
    tickAfterMs(300);
    assertThat(kind).isEqualTo(ProbeKind.ANSWER);
    endProbes(SERVICE, ProbeResult.CONNECTED);
    assertThat(regained).isEmpty();
    tickAfterMs(300);
    endProbes(SERVICE, ProbeResult.ANSWERED);
    assertThat(regained).containsExactly(SERVICE);
  }

  @Test
  void answersLeadToNoProbes() {
    waiting = true;
    monitor.onDispatch(SERVICE, true, nowNs);
    for (int i = 0; i < 20; i++) {
      monitor.onHeard(SERVICE);
      tickAfterMs(250);
    }
    assertThat(probed).isEmpty();
  }

  /** Guards against VMs that take an accepted connection, which is reset next, for a path. */
  @Test
  void brokenConnectionLeadsToProbesThoughOthersWereEstablished() {
    monitor.onConnected(SERVICE, nowNs);
    monitor.onConnectionBroken(SERVICE, nowNs);
    assertThat(kind).isEqualTo(ProbeKind.CONNECT);
    endProbes(SERVICE, ProbeResult.FAILED);
    assertThat(lost).containsExactly(SERVICE);
  }

  /** Guards against connections that are reset only once a request is sent. */
  @Test
  void breaksAfterEstablishedProbesLeadToHealthChecks() {
    monitor.onConnectionBroken(SERVICE, nowNs);
    endProbes(SERVICE, ProbeResult.CONNECTED);
    nowNs += 100 * MS;
    monitor.onConnectionBroken(SERVICE, nowNs);
    assertThat(kind).isEqualTo(ProbeKind.ANSWER);
    endProbes(SERVICE, ProbeResult.CONNECTED);
    assertThat(lost).containsExactly(SERVICE);
  }

  @Test
  void breaksWhileAnswersArriveLeadToNoHealthChecks() {
    monitor.onConnectionBroken(SERVICE, nowNs);
    endProbes(SERVICE, ProbeResult.CONNECTED);
    monitor.onHeard(SERVICE);
    nowNs += 100 * MS;
    monitor.onConnectionBroken(SERVICE, nowNs);
    assertThat(kind).isEqualTo(ProbeKind.CONNECT);
  }

  /** Guards against a break that is held against an upstream by a round from before it. */
  @Test
  void breakDuringRoundLeadsToAnotherRound() {
    monitor.onConnectionBroken(SERVICE, nowNs);
    nowNs += 10 * MS;
    monitor.onConnectionBroken(SERVICE, nowNs);
    nowNs += 40 * MS;
    List<UpstreamId> first = List.copyOf(probed);
    monitor.onProbeEnded(SERVICE, first.get(0), ProbeResult.CONNECTED, nowNs);
    assertThat(probed)
        .as("upstreams without a probe of the first round")
        .containsOnly(first.get(0));
    monitor.onProbeEnded(SERVICE, first.get(1), ProbeResult.CONNECTED, nowNs);
    assertThat(verifiedSinceNs).containsExactly(nowNs - 50 * MS);
    endProbes(SERVICE, ProbeResult.CONNECTED);
    assertThat(verifiedSinceNs).containsExactly(nowNs - 50 * MS, nowNs);
  }

  /** Guards against a round that never ends because the result of a probe got lost. */
  @Test
  void missingResultsCountAsFailed() {
    monitor.onConnectionFailure(SERVICE, nowNs);
    tickAfterMs(2_100);
    assertThat(lost).containsExactly(SERVICE);
  }
}
