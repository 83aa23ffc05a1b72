package org.teaseltrail.core.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.stream.OriginAnswer;
import org.teaseltrail.core.stream.OriginQuestion;
import org.teaseltrail.core.stream.StreamKey;
import org.teaseltrail.core.stream.StreamOrigin;

/**
 * Finds out which version began a stream that a caller takes up here: this VM knows its own
 * streams, and asks all control members for those of others, so that neither the loss of the leader
 * nor that of the VM which began the stream loses its origin.
 */
final class StreamOriginClient {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time after which a question counts as unanswered; a member answers within some ms. */
  private static final long MAX_WAIT_NS = 300 * NS_PER_MS;

  /** Bounds the memory of requests that wait for an origin. */
  private static final int MAX_QUESTIONS = 500;

  /** Continues a request once its stream's origin is known, or known to be unknown. */
  interface Continuation {
    void onOrigin(Optional<StreamOrigin> origin, long nowNs);
  }

  /** A question to which not all members have answered. */
  private static final class OpenQuestion {
    private final OriginQuestion question;
    private final Continuation continuation;
    private long expiryNs;
    private int unanswered;
    private boolean isSent;
    private boolean isAskedAgain;

    private OpenQuestion(
        OriginQuestion question, Continuation continuation, long expiryNs, int unanswered) {
      this.question = question;
      this.continuation = continuation;
      this.expiryNs = expiryNs;
      this.unanswered = unanswered;
    }

    /** Expects one more answer, and waits for it as for the first ones, once. */
    private void markAskedAgain(long nowNs) {
      unanswered++;
      if (!isAskedAgain) {
        expiryNs = nowNs + MAX_WAIT_NS;
      }
      isAskedAgain = true;
    }

    /** Starts the wait anew if the question was sent only after it had expired. */
    private void markSent(long nowNs) {
      if (!isSent && nowNs >= expiryNs) {
        expiryNs = nowNs + MAX_WAIT_NS;
      }
      isSent = true;
    }
  }

  private final ControlClient controlClient;
  private final Consumer<ForwardAction> actions;
  private final BegunStreamAnnouncer begunStreams;
  private final Map<Long, OpenQuestion> questions = new HashMap<>();

  StreamOriginClient(
      ControlClient controlClient,
      BegunStreamAnnouncer begunStreams,
      Consumer<ForwardAction> actions) {
    this.controlClient = controlClient;
    this.begunStreams = begunStreams;
    this.actions = actions;
  }

  /**
   * Finds out what began the stream that a request resumes, and passes it on; empty if nobody knows
   * it for certain.
   */
  void resolve(
      ForwardRequest request,
      PlanRoute route,
      Optional<CustomerId> customer,
      Continuation continuation,
      long nowNs) {
    Optional<StreamKey> key =
        request
            .resumption()
            .flatMap(StreamResumption::begunBy)
            .flatMap(attempt -> StreamKey.of(customer, attempt));
    Optional<StreamOrigin> known = key.flatMap(named -> begunStreams.find(named, nowNs));
    if (known.isPresent() || begunStreams.isLeaderOld() || questions.size() >= MAX_QUESTIONS) {
      continuation.onOrigin(known, nowNs);
      return;
    }
    Optional<ServiceId> service =
        route.targets().size() == 1
            ? Optional.of(route.targets().get(0).service())
            : Optional.empty();
    List<VmId> members = controlClient.members();
    OriginQuestion question = new OriginQuestion(request.number(), key, service);
    questions.put(
        request.number(),
        new OpenQuestion(question, continuation, nowNs + MAX_WAIT_NS, members.size()));
    sendToAll(new ServingMessage.OriginQuery(controlClient.vm(), List.of(question)));
  }

  /** Handles a member's answers; the last one to a question decides if none knows the origin. */
  void onAnswers(ServingReply.OriginAnswers answers, long nowNs) {
    for (OriginAnswer answer : answers.answers()) {
      OpenQuestion question = questions.get(answer.number());
      if (question != null) {
        question.unanswered--;
        if (answer.origin().isPresent() || question.unanswered == 0) {
          questions.remove(answer.number());
          question.continuation.onOrigin(answer.origin(), nowNs);
        }
      }
    }
  }

  /** Asks a member with a new connection again: what was sent to it before may be lost. */
  void onMemberConnected(VmId member, long nowNs) {
    if (questions.isEmpty()) {
      return;
    }
    List<OriginQuestion> open =
        questions.keySet().stream().sorted().map(number -> questions.get(number).question).toList();
    questions.values().forEach(question -> question.markAskedAgain(nowNs));
    ServingMessage query = new ServingMessage.OriginQuery(controlClient.vm(), open);
    actions.accept(new ForwardAction.SendControl(member, query));
  }

  /** Gives up all requests that wait for an origin, because this VM stops. */
  void giveUp() {
    for (long number : questions.keySet().stream().sorted().toList()) {
      questions.remove(number);
      actions.accept(
          ForwardAction.Refuse.beforeRouting(
                  number, RefusalReason.ENDING, DrainSchedule.RETRY_AFTER_MS)
              .at(RequestStage.WAITING_FOR_ORIGIN));
    }
  }

  void onCallerDisconnected(long number) {
    questions.remove(number);
  }

  /** Returns the number of requests that wait for an origin. */
  int waiting() {
    return questions.size();
  }

  /**
   * Gives up questions that the members have not answered. A question is sent after the call that
   * asks it has returned: a VM that has just started may need longer for that than the wait lasts.
   */
  void tick(long nowNs) {
    questions.values().forEach(question -> question.markSent(nowNs));
    List<Long> overdue =
        questions.entrySet().stream()
            .filter(question -> nowNs >= question.getValue().expiryNs)
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    for (long number : overdue) {
      questions.remove(number).continuation.onOrigin(Optional.empty(), nowNs);
    }
  }

  OptionalLong nextDueNs() {
    return questions.values().stream().mapToLong(question -> question.expiryNs).min();
  }

  private void sendToAll(ServingMessage message) {
    controlClient
        .members()
        .forEach(member -> actions.accept(new ForwardAction.SendControl(member, message)));
  }
}
