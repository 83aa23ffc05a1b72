package org.teaseltrail.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.plan.TestPlans;
import org.teaseltrail.core.quarantine.RequestContent;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.stream.BegunStream;
import org.teaseltrail.core.stream.OriginAnswer;
import org.teaseltrail.core.stream.OriginQuestion;
import org.teaseltrail.core.stream.StreamKey;
import org.teaseltrail.core.stream.StreamOrigin;

/** Streams that callers take up at an entry VM, where upstreams run two versions. */
class StreamTakeUpTest extends ForwardNodeTestBase {

  private static final String PATH = "/resumable/x";
  private static final long MAX_WAIT_MS = 300;

  /** Longer than three syncs, and shorter than a session. */
  private static final long SUSPENDED_MS = 2_000;

  /** Ends before the wait for an origin or for news does. */
  private static final DrainSchedule SHORT_STOP = DrainSchedule.of(100);

  private static final Registration OLD = upstream("a1", "v1");
  private static final Registration NEW = upstream("b1", "v2");

  /** Guards against a stream that goes on at another version at its caller's next try. */
  @ParameterizedTest
  @ValueSource(strings = {"v1", "v2"})
  void goesOnAtVersionThatMemberTells(String version) {
    serveWith(TestPlans.plan(1), OLD, NEW);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    assertThat(dispatches()).isEmpty();
    assertThat(questions())
        .containsExactly(
            new OriginQuestion(stream, Optional.of(key("id-before")), Optional.of(ENGINES)));
    answer(stream, Optional.of(origin(ENGINES, version)));
    assertThat(dispatches()).containsExactly(version.equals("v1") ? "a1" : "b1");
  }

  /** Guards against a stream that goes on at a guess because nobody knows its version. */
  @Test
  void isRefusedWhenNoMemberKnowsItsOrigin() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    answer(stream, Optional.empty());
    assertThat(refusals()).containsExactly(RefusalReason.ORIGIN_UNKNOWN);
    assertThat(retriesAfterMs()).allMatch(afterMs -> afterMs > 0);
  }

  /** Guards against a caller that waits for members which don't answer. */
  @Test
  void isRefusedWhenNoMemberAnswers() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    takeUp(Optional.of("id-before"), Optional.of("4"));
    advanceMs(MAX_WAIT_MS - 1);
    assertThat(refusals()).isEmpty();
    advanceMs(1);
    assertThat(refusals()).containsExactly(RefusalReason.ORIGIN_UNKNOWN);
  }

  /** Guards against a stream given up before its question has left a VM that has just started. */
  @Test
  void questionThatLeavesLateIsStillWaitedFor() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    advanceMs(MAX_WAIT_MS + 100);
    assertThat(refusals()).isEmpty();
    answer(stream, Optional.of(origin(ENGINES, "v1")));
    assertThat(dispatches()).containsExactly("a1");
  }

  /** Guards against a wait without end for members that don't answer a question that left late. */
  @Test
  void questionThatLeavesLateIsGivenUpToo() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    takeUp(Optional.of("id-before"), Optional.of("4"));
    advanceMs(MAX_WAIT_MS + 100);
    advanceMs(MAX_WAIT_MS - 1);
    assertThat(refusals()).isEmpty();
    advanceMs(1);
    assertThat(refusals()).containsExactly(RefusalReason.ORIGIN_UNKNOWN);
  }

  /** Guards against a question that is lost with a connection and isn't asked again. */
  @Test
  void questionIsAskedAgainWhenConnectionOpens() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    advanceMs(MAX_WAIT_MS - 1);
    actions = node.onMemberConnected(MEMBER, nowNs);
    assertThat(questions())
        .containsExactly(
            new OriginQuestion(stream, Optional.of(key("id-before")), Optional.of(ENGINES)));
    advanceMs(MAX_WAIT_MS - 1);
    assertThat(refusals()).isEmpty();
    answer(stream, Optional.of(origin(ENGINES, "v2")));
    assertThat(dispatches()).containsExactly("b1");
  }

  /** Guards against a wait without end where connections open and break again and again. */
  @Test
  void questionThatIsAskedAgainIsGivenUpToo() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    takeUp(Optional.of("id-before"), Optional.of("4"));
    node.onMemberConnected(MEMBER, nowNs);
    advanceMs(MAX_WAIT_MS - 1);
    node.onMemberConnected(MEMBER, nowNs);
    advanceMs(1);
    assertThat(refusals()).containsExactly(RefusalReason.ORIGIN_UNKNOWN);
    assertThat(node.openRequests()).isZero();
  }

  /** Guards against an early end because a member that was asked twice answers twice. */
  @Test
  void answerToFirstAskingDoesNotEndTheSecond() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    node.onMemberConnected(MEMBER, nowNs);
    answer(stream, Optional.empty());
    assertThat(refusals()).isEmpty();
    answer(stream, Optional.empty());
    assertThat(refusals()).containsExactly(RefusalReason.ORIGIN_UNKNOWN);
  }

  /** Guards against names that are no names, by which a stream would pass for a known one. */
  @ParameterizedTest
  @ValueSource(strings = {"", " ", "spoilt"})
  void unusableNameIsAskedForWithoutName(String kind) {
    serveWith(TestPlans.plan(1), OLD, NEW);
    String name = kind.equals("spoilt") ? "x".repeat(10_000) : kind;
    long stream = takeUp(Optional.of(name), Optional.of("4"));
    assertThat(questions())
        .containsExactly(new OriginQuestion(stream, Optional.empty(), Optional.of(ENGINES)));
    answer(stream, Optional.empty());
    assertThat(refusals()).containsExactly(RefusalReason.ORIGIN_UNKNOWN);
  }

  /** Guards against callers of before, who name no attempt, being sent to any version. */
  @Test
  void lastEventWithoutNameIsAskedForToo() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    long stream = takeUp(Optional.empty(), Optional.of("4"));
    assertThat(dispatches()).isEmpty();
    answer(stream, Optional.of(origin(ENGINES, "v2")));
    assertThat(dispatches()).containsExactly("b1");
  }

  /** Guards against a name without a last event that counts as a new stream. */
  @Test
  void nameWithoutLastEventIsAskedForToo() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    takeUp(Optional.of("id-before"), Optional.empty());
    assertThat(dispatches()).isEmpty();
    assertThat(questions()).hasSize(1);
  }

  /** Guards against a stream that waits although no upstream of its version is left. */
  @Test
  void endsAtOnceWithoutUpstreamOfItsVersion() {
    serveWith(TestPlans.plan(1), OLD);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    answer(stream, Optional.of(origin(ENGINES, "v2")));
    assertThat(refusals()).containsExactly(RefusalReason.NO_MATCHING_VERSION);
  }

  /** Guards against a stream that a VM refuses as it has not heard of its version yet. */
  @Test
  void waitsForItsVersionAtVmThatWasSuspended() {
    serveWith(TestPlans.plan(1), OLD);
    advanceMs(SUSPENDED_MS);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    answer(stream, Optional.of(origin(ENGINES, "v2")));
    assertThat(refusals()).isEmpty();
    assertThat(dispatches()).isEmpty();
    actions =
        node.onControlMessage(new ServingReply.RegistryUpdate(TERM, 2, List.of(OLD, NEW)), nowNs);
    assertThat(dispatches()).containsExactly("b1");
  }

  /** Guards against a wait for news that a confirmation has shown not to exist. */
  @Test
  void isRefusedOnceItsVmIsInStepAgain() {
    serveWith(TestPlans.plan(1), OLD);
    advanceMs(SUSPENDED_MS);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    answer(stream, Optional.of(origin(ENGINES, "v2")));
    assertThat(refusals()).isEmpty();
    actions = node.onControlMessage(confirmed(TERM, Optional.of(List.of())), nowNs);
    assertThat(refusals()).containsExactly(RefusalReason.NO_MATCHING_VERSION);
    assertThat(node.openRequests()).isZero();
  }

  /** Guards against a stream that waits without end where no news comes. */
  @Test
  void isRefusedWhenNoNewsComes() {
    serveWith(TestPlans.plan(1), OLD);
    advanceMs(SUSPENDED_MS);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    answer(stream, Optional.of(origin(ENGINES, "v2")));
    advanceMs(MAX_WAIT_MS);
    assertThat(refusals()).containsExactly(RefusalReason.NO_MATCHING_VERSION);
    assertThat(node.openRequests()).isZero();
  }

  /** Guards against a stream that waits for its version beyond the end of its VM. */
  @Test
  void isRefusedWhenItsVmStopsWhileItWaitsForNews() {
    serveWith(TestPlans.plan(1), OLD);
    advanceMs(SUSPENDED_MS);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    answer(stream, Optional.of(origin(ENGINES, "v2")));
    node.beginDrain(SHORT_STOP, nowNs, nowNs);
    advanceMs(SHORT_STOP.lastSendMs());
    assertThat(refusals()).containsExactly(RefusalReason.ENDING);
    assertThat(node.openRequests()).isZero();
  }

  /** Guards against a stream whose origin is asked for beyond the end of its VM. */
  @Test
  void isRefusedWhenItsVmStopsWhileItsOriginIsAskedFor() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    takeUp(Optional.of("id-before"), Optional.of("4"));
    node.beginDrain(SHORT_STOP, nowNs, nowNs);
    advanceMs(SHORT_STOP.lastSendMs());
    assertThat(refusals()).containsExactly(RefusalReason.ENDING);
    assertThat(node.openRequests()).isZero();
  }

  /** Guards against a stream that goes on for a caller that has left. */
  @Test
  void callerThatLeavesWhileItWaitsForNewsIsForgotten() {
    serveWith(TestPlans.plan(1), OLD);
    advanceMs(SUSPENDED_MS);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    answer(stream, Optional.of(origin(ENGINES, "v2")));
    node.onCallerDisconnected(stream, nowNs);
    actions =
        node.onControlMessage(new ServingReply.RegistryUpdate(TERM, 2, List.of(OLD, NEW)), nowNs);
    assertThat(dispatches()).isEmpty();
    assertThat(node.openRequests()).isZero();
  }

  /** Guards against a stream that goes on at another service after its route has moved. */
  @Test
  void endsWhenItsRouteLeadsElsewhere() {
    serveWith(TestPlans.plan(1), OLD);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    answer(stream, Optional.of(origin(new ServiceId("former"), "v1")));
    assertThat(refusals()).containsExactly(RefusalReason.NO_MATCHING_VERSION);
  }

  /** Guards against a question to the members where this VM knows the answer itself. */
  @Test
  void ownStreamNeedsNoQuestion() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    long first = arrive(PATH);
    final String firstUpstream = dispatches().get(0);
    node.onResponseStarted(first, nowNs);
    end(first, AttemptOutcome.ANSWERED);
    takeUp(Optional.of("id-" + first), Optional.of("4"));
    assertThat(dispatches()).containsExactly(firstUpstream);
  }

  /** Guards against a stream whose origin is lost with the VM that began it. */
  @Test
  void tellsMembersWhichVersionBeganStream() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    long stream = arrive(PATH);
    final String version = dispatches().get(0).equals("a1") ? "v1" : "v2";
    actions = node.onResponseStarted(stream, nowNs);
    assertThat(told())
        .containsExactly(new BegunStream(key("id-" + stream), origin(ENGINES, version), 60_000));
    advanceMs(100);
    assertThat(told()).isEmpty();
  }

  /** Guards against a lost VM that can't tell its streams any more when another version joins. */
  @Test
  void tellsMembersOfStreamAtOnceThoughOneVersionServes() {
    serveWith(TestPlans.plan(1), OLD);
    long stream = arrive(PATH);
    actions = node.onResponseStarted(stream, nowNs);
    assertThat(told())
        .containsExactly(new BegunStream(key("id-" + stream), origin(ENGINES, "v1"), 60_000));
    actions =
        node.onControlMessage(new ServingReply.RegistryUpdate(TERM, 2, List.of(OLD, NEW)), nowNs);
    assertThat(told()).isEmpty();
  }

  /** Guards against a member that has started again and knows of no stream. */
  @Test
  void tellsMemberAgainWhenItsConnectionOpens() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    long stream = arrive(PATH);
    actions = node.onResponseStarted(stream, nowNs);
    assertThat(told()).hasSize(1);
    node.onMemberConnected(MEMBER, nowNs);
    actions = node.tick(nowNs);
    assertThat(told()).extracting(BegunStream::key).containsExactly(key("id-" + stream));
    advanceMs(250);
    assertThat(told()).isEmpty();
  }

  /** Guards against a burst at a member that has started, to which all VMs connect at once. */
  @Test
  void tellsStreamsAgainFewAtOnce() {
    serveWith(TestPlans.plan(1), upstream("a1", TestPlans.ENGINES, 1_000));
    for (int i = 0; i < 600; i++) {
      node.onResponseStarted(arrive(PATH), nowNs);
    }
    node.onMemberConnected(MEMBER, nowNs);
    actions = node.tick(nowNs);
    assertThat(told()).hasSize(250);
    advanceMs(49);
    assertThat(told()).isEmpty();
    advanceMs(1);
    assertThat(told()).hasSize(250);
    advanceMs(50);
    assertThat(told()).hasSize(100);
  }

  /** Guards against members of an older program that were told nothing, once a newer one leads. */
  @Test
  void tellsAllMembersOnceNewerLeaderIsThere() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    advanceMs(250);
    node.onControlMessage(confirmed(TERM, Optional.empty()), nowNs);
    long stream = arrive(PATH);
    actions = node.onResponseStarted(stream, nowNs);
    assertThat(told()).isEmpty();
    advanceMs(250);
    node.onControlMessage(confirmed(new FencingNumber(2), Optional.of(List.of())), nowNs);
    actions = node.tick(nowNs);
    assertThat(told()).extracting(BegunStream::key).containsExactly(key("id-" + stream));
  }

  /** Guards against messages that an older leader doesn't know, and a guess beside it. */
  @Test
  void olderLeaderIsNeitherToldNorAsked() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    advanceMs(250);
    node.onControlMessage(confirmed(TERM, Optional.empty()), nowNs);
    long stream = arrive(PATH);
    node.onResponseStarted(stream, nowNs);
    advanceMs(100);
    assertThat(told()).isEmpty();
    takeUp(Optional.of("id-before"), Optional.of("4"));
    assertThat(questions()).isEmpty();
    assertThat(refusals()).containsExactly(RefusalReason.ORIGIN_UNKNOWN);
  }

  /** Guards against a stream joined from two versions, of which the first has just left. */
  @Test
  void olderLeaderProvesNothingThoughOneVersionIsRegistered() {
    serveWith(TestPlans.plan(1), NEW);
    advanceMs(250);
    node.onControlMessage(confirmed(TERM, Optional.empty()), nowNs);
    takeUp(Optional.of("id-before"), Optional.of("4"));
    assertThat(dispatches()).isEmpty();
    assertThat(refusals()).containsExactly(RefusalReason.ORIGIN_UNKNOWN);
  }

  /** Guards against a request without a stream that is asked for because of a stray header. */
  @Test
  void requestWithoutStreamIsNotAskedFor() {
    Registration plain = upstream("p1", TestPlans.PLAIN, 2);
    serveWith(TestPlans.plan(1), plain);
    takeUp("/safe/x", Optional.of("id-before"), Optional.of("4"));
    assertThat(dispatches()).containsExactly("p1");
  }

  /** Guards against an answer for a caller that has left. */
  @Test
  void answerForCallerThatLeftIsIgnored() {
    serveWith(TestPlans.plan(1), OLD, NEW);
    long stream = takeUp(Optional.of("id-before"), Optional.of("4"));
    node.onCallerDisconnected(stream, nowNs);
    answer(stream, Optional.of(origin(ENGINES, "v1")));
    assertThat(dispatches()).isEmpty();
    assertThat(node.openRequests()).isZero();
  }

  private static final ServiceId ENGINES = TestPlans.ENGINES;

  private long takeUp(Optional<String> begunBy, Optional<String> lastEventId) {
    return takeUp(PATH, begunBy, lastEventId);
  }

  private long takeUp(String path, Optional<String> begunBy, Optional<String> lastEventId) {
    lastNumber++;
    ForwardRequest request =
        new ForwardRequest(
            lastNumber,
            "id-" + lastNumber,
            TestPlans.HOST,
            path,
            Optional.of(TestPlans.KEY),
            OptionalLong.of(4_000),
            OptionalInt.of(1_000),
            OptionalInt.of(100),
            List.of(),
            RequestContent.EMPTY,
            Optional.of(new StreamResumption(begunBy, lastEventId)));
    actions = node.onRequest(request, nowNs);
    return lastNumber;
  }

  private void answer(long number, Optional<StreamOrigin> origin) {
    actions =
        node.onControlMessage(
            new ServingReply.OriginAnswers(List.of(new OriginAnswer(number, origin)), false),
            nowNs);
  }

  private ServingReply.Confirmed confirmed(
      FencingNumber fencing, Optional<List<ServiceId>> mixedServices) {
    ServingPlan plan = node.plan().orElseThrow();
    return new ServingReply.Confirmed(
        fencing,
        lastSequence,
        plan.version(),
        1,
        1,
        List.of(MEMBER),
        places,
        List.of(),
        grants(),
        mixedServices);
  }

  private List<OriginQuestion> questions() {
    return sent(ServingMessage.OriginQuery.class).stream()
        .flatMap(query -> query.questions().stream())
        .toList();
  }

  private List<BegunStream> told() {
    return sent(ServingMessage.StreamsBegun.class).stream()
        .flatMap(message -> message.streams().stream())
        .toList();
  }

  private <T extends ServingMessage> List<T> sent(Class<T> type) {
    return actions.stream()
        .filter(ForwardAction.SendControl.class::isInstance)
        .map(action -> ((ForwardAction.SendControl) action).message())
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  private static StreamKey key(String attempt) {
    return new StreamKey(Optional.of(TestPlans.CUSTOMER), attempt);
  }

  private static StreamOrigin origin(ServiceId service, String version) {
    return new StreamOrigin(service, Optional.of(new UpstreamVersion(version)));
  }

  private static Registration upstream(String id, String version) {
    return ForwardSamples.upstream(id, TestPlans.ENGINES, 2, version);
  }
}
