package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.teaseltrail.core.request.Outcome;

/** Runs a session of random load under random faults, ends the faults and looks at what is left. */
final class RandomSession {

  private static final int ENTRY_VMS = 3;
  private static final int ENGINES = 3;
  private static final long FAULTS_NS = 25_000 * Timeline.MS;
  private static final long REST_NS = 15_000 * Timeline.MS;
  private static final long PROBE_NS = 3_000 * Timeline.MS;
  private static final int MAX_TRIES = 5;

  private final SessionWorld world;
  private final SplittableRandom random;
  private final Map<Fault, Integer> struck = new EnumMap<>(Fault.class);
  private long faultsEndNs;
  private int calls;

  RandomSession(long seed) {
    world = new SessionWorld(seed, ENTRY_VMS, ENGINES, true);
    random = world.random().split();
  }

  SessionWorld world() {
    return world;
  }

  /** Returns how often each fault struck. */
  Map<Fault, Integer> struck() {
    return struck;
  }

  /** Runs the whole session; what is promised is checked meanwhile and at its end. */
  void run() {
    world.begin();
    faultsEndNs = world.timeline().nowNs() + FAULTS_NS;
    load();
    faults();
    world.timeline().runFor(FAULTS_NS);
    world.network().heal();
    world.processes().forEach(FakeProcess::thaw);
    world.processes().forEach(FakeProcess::start);
    world.timeline().runFor(REST_NS);
    world.processes().forEach(FakeProcess::start);
    world.timeline().runFor(REST_NS);
    world.callers().checkAtEnd();
    probe();
  }

  private boolean isOver() {
    return world.timeline().nowNs() >= faultsEndNs;
  }

  private void load() {
    if (isOver()) {
      return;
    }
    int count = random.nextInt(25) == 0 ? 30 : 1;
    for (int i = 0; i < count; i++) {
      ask(new Call(spec()), 1);
    }
    world.timeline().after(random.nextLong(120 * Timeline.MS), this::load);
  }

  private void faults() {
    if (isOver()) {
      return;
    }
    world.timeline().after(random.nextLong(1_500 * Timeline.MS), this::faults);
    Fault fault = Fault.any(random);
    struck.merge(fault, 1, Integer::sum);
    world.trace().line("fault", fault.toString());
    fault.strike(world);
  }

  private CallSpec spec() {
    calls++;
    boolean keyed = random.nextInt(3) == 0;
    boolean longOne = random.nextInt(5) == 0;
    return new CallSpec(
        "c" + calls,
        1 + random.nextInt(SessionWorld.TIERS),
        1 + random.nextInt(longOne ? 1_200 : 60),
        1 + random.nextInt(longOne ? 200 : 20),
        keyed ? Optional.of("k" + calls) : Optional.empty(),
        keyed && random.nextBoolean(),
        random.nextInt(10) == 0 ? 1 + random.nextInt(4_000) : 0);
  }

  /** Asks over any VM whose process is there; a balancer finds no other. */
  private void ask(Call call, int tries) {
    List<EntryProcess> open = world.entries().stream().filter(EntryProcess::isListening).toList();
    if (open.isEmpty()) {
      return;
    }
    Submission submission = world.callers().submit(call, open.get(random.nextInt(open.size())));
    submission.whenOver(() -> over(submission, tries));
    if (random.nextInt(20) == 0) {
      world.timeline().after(random.nextLong(2_000 * Timeline.MS), () -> hangUp(submission, tries));
    }
  }

  private void hangUp(Submission submission, int tries) {
    if (!submission.isOver()) {
      submission.hangUp();
      over(submission, tries);
    }
  }

  /** Comes back with the same key, as a caller who has no whole answer yet. */
  private void over(Submission submission, int tries) {
    boolean done = submission.outcome().filter(Outcome.Completed.class::isInstance).isPresent();
    if (!done && submission.call().spec().key().isPresent() && tries < MAX_TRIES) {
      world
          .timeline()
          .after(random.nextLong(1_500 * Timeline.MS), () -> ask(submission.call(), tries + 1));
    }
  }

  /** Asks each VM once more: all must serve again. */
  private void probe() {
    for (EntryProcess entry : world.entries()) {
      assertThat(entry.isReady()).describedAs("%s is ready", entry.name()).isTrue();
      calls++;
      CallSpec spec = new CallSpec("probe" + calls, 2, 10, 5, Optional.empty(), false, 0);
      world.callers().submit(new Call(spec), entry);
    }
    world.timeline().runFor(PROBE_NS);
    world.callers().all().stream()
        .filter(submission -> submission.call().spec().name().startsWith("probe"))
        .forEach(
            probe ->
                assertThat(probe.outcome())
                    .describedAs("outcome of %s over %s", probe.id(), probe.entry().name())
                    .containsInstanceOf(Outcome.Completed.class));
    world.callers().checkAtEnd();
  }
}
