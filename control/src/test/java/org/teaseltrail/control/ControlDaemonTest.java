package org.teaseltrail.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
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
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.StartPause;

/** Runs members with real sockets and disks. */
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

  /** Repeats the call without delay until the condition holds; bounded by the test's timeout. */
  private static <T> T pollUntil(Supplier<T> call, Predicate<T> condition) {
    T answer = call.get();
    while (!condition.test(answer)) {
      answer = call.get();
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
    pollUntil(
        () ->
            leader
                .operator()
                .changeMembers(ChangeMembersRequest.newBuilder().setAddLearner(learner).build()),
        response -> response.hasChanged());
    pollUntil(
        () ->
            leader
                .operator()
                .changeMembers(
                    ChangeMembersRequest.newBuilder().setPromote(learner.getId()).build()),
        response -> response.hasChanged());
  }

  /**
   * Guards against lost or repeated changes when a single member restarts: accepted changes must be
   * restored, and a change that is resent because its response was lost must return its first
   * result.
   */
  @Test
  void restartKeepsAcceptedChanges() throws Exception {
    List<PeerAddress> peers = TestMember.unusedAddresses(1);
    try (TestMember member = new TestMember(1, peers, TestMember.unusedAddresses(1), data)) {
      member.start(StartMode.NEW_GROUP);
      ApplyChangeResponse first =
          pollUntil(
              () -> member.operator().applyChange(tier("a", 1)), ApplyChangeResponse::hasAccepted);
      assertThat(first.getAccepted().getRevision()).isEqualTo(1);
      member.operator().applyChange(tier("b", 2));
      member.stop();
      member.start(StartMode.GO_ON);
      ApplyChangeResponse resent =
          pollUntil(
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
   * Guards against the loss of accepted changes at a change of leader. Two members join a group of
   * one, then its leader stops. Leadership must move to one of them, which must know the change
   * that the previous leader accepted.
   */
  @Test
  void leadershipMovesToJoinedMembers() throws Exception {
    List<PeerAddress> peers = TestMember.unusedAddresses(3);
    List<PeerAddress> operators = TestMember.unusedAddresses(3);
    try (TestMember one = new TestMember(1, peers, operators, data);
        TestMember two = new TestMember(2, peers, operators, data);
        TestMember three = new TestMember(3, peers, operators, data)) {
      one.start(StartMode.NEW_GROUP);
      two.start(StartMode.JOIN);
      three.start(StartMode.JOIN);
      pollUntil(() -> local(one), Status::getLeading);
      join(one, two);
      join(one, three);
      ApplyChangeResponse first = one.operator().applyChange(tier("a", 1));
      assertThat(first.hasAccepted()).isTrue();
      one.stop();
      List<TestMember> remaining = List.of(two, three);
      TestMember newLeader =
          pollUntil(
                  () -> remaining.stream().filter(member -> local(member).getLeading()).findAny(),
                  found -> found.isPresent())
              .orElseThrow();
      assertThat(newLeader.operator().applyChange(tier("a", 1))).isEqualTo(first);
      TestMember other = newLeader == two ? three : two;
      assertThat(other.operator().applyChange(tier("b", 2)).getNotLeader().getLeaderAddress())
          .isNotEmpty();
      restartAll(one, two, three);
    }
  }

  /**
   * Guards against a member that ends because another process holds the operators' port a while.
   */
  @Test
  void listensForOperatorsOncePortIsFree() throws Exception {
    List<PeerAddress> peers = TestMember.unusedAddresses(1);
    List<PeerAddress> operators = TestMember.unusedAddresses(1);
    try (TestMember member = new TestMember(1, peers, operators, data)) {
      CompletableFuture<Void> started;
      int port = operators.get(0).address().port();
      try (ServerSocket holder = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        started = CompletableFuture.runAsync(() -> startUnchecked(member));
        assertThat(holder.isBound()).isTrue();
        pollUntil(started::isDone, done -> done || isWaitingForPort());
        assertThat(started).isNotDone();
      }
      started.get();
      assertThat(pollUntil(() -> local(member), Status::getLeading).getLeading()).isTrue();
    }
  }

  private static boolean isWaitingForPort() {
    return Thread.getAllStackTraces().values().stream()
        .flatMap(Arrays::stream)
        .anyMatch(frame -> frame.getClassName().equals(StartPause.class.getName()));
  }

  private static void startUnchecked(TestMember member) {
    try {
      member.start(StartMode.NEW_GROUP);
    } catch (ProgramException e) {
      throw new CompletionException(e);
    }
  }

  /** Restarts all members from their disks; they must restore the membership of the group. */
  private static void restartAll(TestMember one, TestMember two, TestMember three)
      throws ProgramException {
    two.stop();
    three.stop();
    List<TestMember> all = List.of(one, two, three);
    for (TestMember member : all) {
      member.start(StartMode.GO_ON);
    }
    pollUntil(
        () -> all.stream().filter(member -> local(member).getLeading()).count(),
        leaders -> leaders == 1);
    assertThat(all).allMatch(member -> local(member).getMembersCount() == 3);
  }
}
