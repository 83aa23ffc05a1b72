package org.teaseltrail.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.teaseltrail.api.v1.AddLearner;
import org.teaseltrail.api.v1.ApplyChangeRequest;
import org.teaseltrail.api.v1.ApplyChangeResponse;
import org.teaseltrail.api.v1.Change;
import org.teaseltrail.api.v1.ChangeMembersRequest;
import org.teaseltrail.api.v1.GetConfigurationRequest;
import org.teaseltrail.api.v1.GetStatusRequest;
import org.teaseltrail.api.v1.Status;
import org.teaseltrail.api.v1.Tier;

/** Runs members over real sockets and disks. */
@Timeout(60)
class ControlDaemonTest {

  @TempDir private Path data;

  private static ApplyChangeRequest tier(String changeId, int rank) {
    return ApplyChangeRequest.newBuilder()
        .setChangeId(changeId)
        .addChanges(
            Change.newBuilder().setPutTier(Tier.newBuilder().setRank(rank).setName("t" + rank)))
        .build();
  }

  /** Asks again, without a pause, until the answer fits; the test's timeout bounds it. */
  private static <T> T until(Supplier<T> question, Predicate<T> fits) {
    T answer = question.get();
    while (!fits.test(answer)) {
      answer = question.get();
    }
    return answer;
  }

  private static Status local(TestMember member) {
    GetStatusRequest request = GetStatusRequest.newBuilder().setLocal(true).build();
    return member.operator().getStatus(request).getStatus();
  }

  private static void join(TestMember leader, TestMember joining) {
    Status status = local(joining);
    AddLearner learner =
        AddLearner.newBuilder()
            .setId(status.getMember())
            .setVm(status.getMember().replaceAll("-\\d+$", ""))
            .build();
    until(
        () ->
            leader
                .operator()
                .changeMembers(ChangeMembersRequest.newBuilder().setAddLearner(learner).build()),
        response -> response.hasChanged());
    until(
        () ->
            leader
                .operator()
                .changeMembers(
                    ChangeMembersRequest.newBuilder().setPromote(learner.getId()).build()),
        response -> response.hasChanged());
  }

  /**
   * A member alone is ended and started again. What operators changed must be there, and a change
   * whose answer they may have missed must give its first result.
   */
  @Test
  void restartKeepsWhatWasAccepted() throws Exception {
    List<PeerAddress> peers = TestMember.addresses(1);
    try (TestMember member = new TestMember(1, peers, TestMember.addresses(1), data)) {
      member.start(StartMode.NEW_GROUP);
      ApplyChangeResponse first =
          until(
              () -> member.operator().applyChange(tier("a", 1)), ApplyChangeResponse::hasAccepted);
      assertThat(first.getAccepted().getRevision()).isEqualTo(1);
      member.operator().applyChange(tier("b", 2));
      member.stop();
      member.start(StartMode.GO_ON);
      ApplyChangeResponse resent =
          until(
              () -> member.operator().applyChange(tier("a", 1)), ApplyChangeResponse::hasAccepted);
      assertThat(resent).isEqualTo(first);
      assertThat(
              member
                  .operator()
                  .getConfiguration(GetConfigurationRequest.getDefaultInstance())
                  .getConfiguration()
                  .getRevision())
          .isEqualTo(2);
    }
  }

  /**
   * Two members join a group of one, then its leader is ended. Leadership must be handed over, and
   * a change that the old leader accepted must be known to the new one.
   */
  @Test
  void membersJoinAndTakeLeadershipOver() throws Exception {
    List<PeerAddress> peers = TestMember.addresses(3);
    List<PeerAddress> operators = TestMember.addresses(3);
    try (TestMember one = new TestMember(1, peers, operators, data);
        TestMember two = new TestMember(2, peers, operators, data);
        TestMember three = new TestMember(3, peers, operators, data)) {
      one.start(StartMode.NEW_GROUP);
      two.start(StartMode.JOIN);
      three.start(StartMode.JOIN);
      until(() -> local(one), Status::getLeading);
      join(one, two);
      join(one, three);
      ApplyChangeResponse first = one.operator().applyChange(tier("a", 1));
      assertThat(first.hasAccepted()).isTrue();
      one.stop();
      List<TestMember> rest = List.of(two, three);
      TestMember next =
          until(
                  () -> rest.stream().filter(member -> local(member).getLeading()).findAny(),
                  found -> found.isPresent())
              .orElseThrow();
      assertThat(next.operator().applyChange(tier("a", 1))).isEqualTo(first);
      TestMember other = next == two ? three : two;
      assertThat(other.operator().applyChange(tier("b", 2)).getNotLeader().getLeaderAddress())
          .isNotEmpty();
      restartAll(one, two, three);
    }
  }

  /** All members start anew from their disks: they must know where the others are. */
  private static void restartAll(TestMember one, TestMember two, TestMember three)
      throws IOException {
    two.stop();
    three.stop();
    List<TestMember> all = List.of(one, two, three);
    for (TestMember member : all) {
      member.start(StartMode.GO_ON);
    }
    until(
        () -> all.stream().filter(member -> local(member).getLeading()).count(),
        leaders -> leaders == 1);
    assertThat(all).allMatch(member -> local(member).getMembersCount() == 3);
  }
}
