package org.teaseltrail.load.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.teaseltrail.load.measure.OutcomeCounter;
import org.teaseltrail.load.measure.RequestOutcome;
import org.teaseltrail.load.policy.baseline.Baseline;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.DeploymentReader;
import org.teaseltrail.load.workload.KindSpec;

class PolicyRunTest {

  private static final long SECOND_NS = 1_000_000_000L;
  private static final long MAX_USEFUL_DEADLINE_MS = 6_000;
  private static final long SEED = 11;

  /**
   * Runs each policy under each fault. Guards against requests that are lost or counted twice, and
   * against incomplete responses, which the run itself rejects.
   */
  @ParameterizedTest
  @MethodSource("policiesAndFaults")
  void eachOfferedRequestEndsWithOneOutcome(Policy policy, Fault fault) {
    RunResult result = new PolicyRun(scenario(1.5, fault), policy, SEED).run();

    for (OutcomeCounter tally : result.tiers().values()) {
      assertThat(tally.offeredCount()).isPositive();
      assertThat(tally.endedCount()).isEqualTo(tally.offeredCount());
    }
    assertThat(total(result.kinds().values())).isEqualTo(total(result.tiers().values()));
    PrefillTotals prefill = result.prefill();
    assertThat(prefill.wastedFraction()).isBetween(0.0, 1.0);
    assertThat(prefill.cachedTokens()).isPositive();
  }

  @Test
  void equalSeedsProduceGoldenResult() throws IOException {
    Scenario scenario = scenario(1.5, Fault.CRASH);
    List<Policy> policies = List.of(Policy.of(Baseline.POWER_OF_TWO), Policy.of(Baseline.VM_QUEUE));

    List<GroupResult> results = new Experiment(policies, List.of(scenario), SEED, 2).run(2);

    String actual = String.join("\n", new ResultCsv(results).lines()) + "\n";
    assertThat(actual).isEqualTo(golden("baselines.csv"));
  }

  @Test
  void schedulerRunsAreEqualForEqualSeeds() {
    Scenario scenario = scenario(1.5, Fault.STRAGGLER);

    List<String> first = csvOfScheduler(scenario);

    assertThat(csvOfScheduler(scenario)).isEqualTo(first);
  }

  @Test
  void requestsInFlightOfCrashedEngineFailAndWasteTheirPrefill() {
    RunResult result =
        new PolicyRun(scenario(1.5, Fault.CRASH), Policy.of(Baseline.ROUND_ROBIN), SEED).run();

    long failed =
        result.tiers().values().stream().mapToLong(t -> t.count(RequestOutcome.FAILED)).sum();
    assertThat(failed).isPositive();
    assertThat(result.prefill().wastedTokens()).containsKey(PrefillWasteCause.DISCARDED_FAILURE);
  }

  private static Stream<Arguments> policiesAndFaults() {
    return Policy.withBaselines().stream()
        .flatMap(policy -> Stream.of(Fault.values()).map(f -> Arguments.of(policy, f)));
  }

  private static List<String> csvOfScheduler(Scenario scenario) {
    RunResult result = new PolicyRun(scenario, Policy.scheduler(), SEED).run();
    return new ResultCsv(List.of(new GroupResult(Policy.scheduler(), scenario, List.of(result))))
        .lines();
  }

  private static long total(Collection<OutcomeCounter> tallies) {
    return tallies.stream().mapToLong(OutcomeCounter::offeredCount).sum();
  }

  /**
   * Returns a scenario on the gopherfield deployment with shorter deadlines, which keeps the run
   * short.
   */
  private static Scenario scenario(double load, Fault fault) {
    Deployment d = DeploymentReader.read("gopherfield");
    List<KindSpec> kinds = d.kinds().stream().map(PolicyRunTest::withShorterDeadline).toList();
    Deployment shortened =
        new Deployment(
            d.name(),
            d.region(),
            d.pool(),
            d.model(),
            d.version(),
            d.service(),
            d.entryVms(),
            d.networkMs(),
            d.clientMs(),
            d.engines(),
            d.customers(),
            kinds);
    return new Scenario(shortened, load, fault, SECOND_NS, 3 * SECOND_NS);
  }

  private static KindSpec withShorterDeadline(KindSpec k) {
    return new KindSpec(
        k.name(),
        k.target(),
        k.workShare(),
        k.promptTokens(),
        k.outputTokens(),
        k.customers(),
        k.followUpFraction(),
        Math.min(k.usefulDeadlineMs(), MAX_USEFUL_DEADLINE_MS),
        k.sendsDeadline(),
        k.idempotent());
  }

  private static String golden(String name) throws IOException {
    try (InputStream in = PolicyRunTest.class.getResourceAsStream(name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
