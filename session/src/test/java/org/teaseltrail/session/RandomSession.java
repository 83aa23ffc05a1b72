package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.teaseltrail.core.request.Outcome;

/**
 * Runs a session with random load under random faults, ends the faults and checks that all entry
 * VMs serve requests again.
 */
final class RandomSession {

  private static final int ENTRY_VMS = 3;
  private static final int ENGINES = 3;
  private static final long FAULTS_NS = 25_000 * Timeline.MS;
  private static final long RECOVERY_NS = 15_000 * Timeline.MS;
  private static final long PROBE_NS = 3_000 * Timeline.MS;
  private static final int MAX_ATTEMPTS = 5;

  private final SimulatedCluster cluster;
  private final SplittableRandom random;
  private final Map<Fault, Integer> injectedFaults = new EnumMap<>(Fault.class);
  private long faultsEndNs;
  private int calls;

  RandomSession(long seed) {
    cluster = new SimulatedCluster(seed, ENTRY_VMS, ENGINES, true);
    random = cluster.random().split();
  }

  SimulatedCluster cluster() {
    return cluster;
  }

  /** Returns how often each fault was injected. */
  Map<Fault, Integer> injectedFaults() {
    return injectedFaults;
  }

  /** Runs the session and checks the guarantees after each step and at the end. */
  void run() {
    cluster.startAndConfigure();
    faultsEndNs = cluster.timeline().nowNs() + FAULTS_NS;
    load();
    faults();
    cluster.timeline().runFor(FAULTS_NS);
    cluster.network().heal();
    cluster.processes().forEach(SimulatedProcess::unpause);
    cluster.processes().forEach(SimulatedProcess::start);
    cluster.timeline().runFor(RECOVERY_NS);
    cluster.processes().forEach(SimulatedProcess::start);
    cluster.timeline().runFor(RECOVERY_NS);
    cluster.callers().checkAtEnd();
    probe();
  }

  private boolean faultPhaseEnded() {
    return cluster.timeline().nowNs() >= faultsEndNs;
  }

  private void load() {
    if (faultPhaseEnded()) {
      return;
    }
    int count = random.nextInt(25) == 0 ? 30 : 1;
    for (int i = 0; i < count; i++) {
      sendCall(new Call(spec()), 1);
    }
    cluster.timeline().after(random.nextLong(120 * Timeline.MS), this::load);
  }

  private void faults() {
    if (faultPhaseEnded()) {
      return;
    }
    cluster.timeline().after(random.nextLong(1_500 * Timeline.MS), this::faults);
    Fault fault = Fault.any(random);
    injectedFaults.merge(fault, 1, Integer::sum);
    cluster.trace().addLine("fault", fault.toString());
    fault.inject(cluster);
  }

  private CallSpec spec() {
    calls++;
    boolean keyed = random.nextInt(3) == 0;
    boolean isLong = random.nextInt(5) == 0;
    return new CallSpec(
        "c" + calls,
        1 + random.nextInt(SimulatedCluster.TIERS),
        1 + random.nextInt(isLong ? 1_200 : 60),
        1 + random.nextInt(isLong ? 200 : 20),
        keyed ? Optional.of("k" + calls) : Optional.empty(),
        keyed && random.nextBoolean(),
        random.nextInt(10) == 0 ? 1 + random.nextInt(4_000) : 0);
  }

  /** Sends a call to a random listening entry VM; a load balancer selects no other. */
  private void sendCall(Call call, int attempts) {
    List<EntryProcess> listening =
        cluster.entries().stream().filter(EntryProcess::isListening).toList();
    if (listening.isEmpty()) {
      return;
    }
    Submission submission =
        cluster.callers().submit(call, listening.get(random.nextInt(listening.size())));
    submission.onFinished(() -> onFinished(submission, attempts));
    if (random.nextInt(20) == 0) {
      cluster
          .timeline()
          .after(random.nextLong(2_000 * Timeline.MS), () -> disconnect(submission, attempts));
    }
  }

  private void disconnect(Submission submission, int attempts) {
    if (!submission.isFinished()) {
      submission.disconnect();
      onFinished(submission, attempts);
    }
  }

  /** Retries with the same key, as a caller does that has no complete answer yet. */
  private void onFinished(Submission submission, int attempts) {
    boolean completed =
        submission.outcome().filter(Outcome.Completed.class::isInstance).isPresent();
    if (!completed && submission.call().spec().key().isPresent() && attempts < MAX_ATTEMPTS) {
      cluster
          .timeline()
          .after(
              random.nextLong(1_500 * Timeline.MS),
              () -> sendCall(submission.call(), attempts + 1));
    }
  }

  /** Sends a request to each entry VM; all must complete it after the faults have ended. */
  private void probe() {
    for (EntryProcess entry : cluster.entries()) {
      assertThat(entry.isReady()).describedAs("%s is ready", entry.name()).isTrue();
      calls++;
      CallSpec spec = new CallSpec("probe" + calls, 2, 10, 5, Optional.empty(), false, 0);
      cluster.callers().submit(new Call(spec), entry);
    }
    cluster.timeline().runFor(PROBE_NS);
    cluster.callers().all().stream()
        .filter(submission -> submission.call().spec().name().startsWith("probe"))
        .forEach(
            probe ->
                assertThat(probe.outcome())
                    .describedAs("outcome of %s over %s", probe.id(), probe.entry().name())
                    .containsInstanceOf(Outcome.Completed.class));
    cluster.callers().checkAtEnd();
  }
}
