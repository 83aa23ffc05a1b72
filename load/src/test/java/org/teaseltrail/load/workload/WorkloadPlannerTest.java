package org.teaseltrail.load.workload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WorkloadPlannerTest {

  private static final long MINUTE_NS = 60_000_000_000L;

  @ParameterizedTest
  @ValueSource(strings = {"gopherfield", "cymru"})
  void deploymentsHaveSpecifiedSizes(String name) {
    Deployment deployment = DeploymentReader.read(name);

    assertThat(deployment.customers()).hasSize(5);
    assertThat(deployment.engines()).hasSize(name.equals("cymru") ? 8 : 6);
    assertThat(deployment.engines()).allMatch(e -> e.stepMs() >= 2.5);
    assertThat(deployment.kinds()).anyMatch(k -> !k.idempotent());
  }

  @ParameterizedTest
  @ValueSource(strings = {"gopherfield", "cymru"})
  void lengthsSpreadHundredfold(String name) {
    IntSummaryStatistics lengths =
        plan(name, 1, 1).stream()
            .collect(Collectors.summarizingInt(r -> r.prompt().tokens() + r.outputTokens()));

    assertThat(lengths.getMax()).isGreaterThan(20 * lengths.getMin());
  }

  @Test
  void equalSeedsPlanEqualRequests() {
    assertThat(plan("cymru", 1.5, 7)).isEqualTo(plan("cymru", 1.5, 7));
    assertThat(plan("cymru", 1.5, 7)).isNotEqualTo(plan("cymru", 1.5, 8));
  }

  @Test
  void loadScalesTheNumberOfRequests() {
    int atOne = plan("gopherfield", 1, 3).size();
    int atThree = plan("gopherfield", 3, 3).size();

    assertThat((double) atThree / atOne).isCloseTo(3, within(0.2));
  }

  @Test
  void burstsRaiseRateDuringTheirInterval() {
    Deployment deployment = DeploymentReader.read("gopherfield");
    Burst burst = new Burst(MINUTE_NS / 2, MINUTE_NS, 4);

    List<PlannedRequest> requests =
        new WorkloadPlanner(deployment, 1, List.of(burst)).planGenerations(MINUTE_NS, 5);

    long before = requests.stream().filter(r -> r.atNs() < MINUTE_NS / 2).count();
    assertThat((double) (requests.size() - before) / before).isCloseTo(4, within(0.6));
  }

  @Test
  void promptsWithCommonPrefixShareBlocks() {
    Prompt first = new Prompt(List.of(new Segment(1, 600))).append(new Segment(2, 300));
    Prompt second = first.append(new Segment(3, 500));
    Prompt other = new Prompt(List.of(new Segment(1, 600))).append(new Segment(4, 300));

    assertThat(first.blocks()).hasSize(3);
    assertThat(second.blocks().subList(0, 3)).isEqualTo(first.blocks());
    assertThat(other.blocks().subList(0, 2)).isEqualTo(first.blocks().subList(0, 2));
    assertThat(other.blocks().get(2)).isNotEqualTo(first.blocks().get(2));
    assertThat(second.text()).startsWith(first.text()).hasSize(1_400 * Segment.TOKEN_BYTES);
  }

  @Test
  void unknownDeploymentIsRejected() {
    assertThatThrownBy(() -> DeploymentReader.read("nowhere"))
        .isInstanceOf(InvalidWorkloadException.class);
  }

  private static List<PlannedRequest> plan(String name, double load, long seed) {
    return new WorkloadPlanner(DeploymentReader.read(name), load, List.of())
        .planGenerations(MINUTE_NS, seed);
  }
}
