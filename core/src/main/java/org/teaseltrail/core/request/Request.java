package org.teaseltrail.core.request;

import java.util.Objects;
import java.util.Optional;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.message.Usage;

/**
 * State machine of one request of a caller, from its arrival to its outcome.
 *
 * <p>As the root of the aggregate it enforces what callers rely on: the request is dispatched at
 * most once, "not run" is reported only if it is true, and the answer is complete and belongs to
 * the request. Each of these is checked as an invariant, so that a bug anywhere in the program
 * leads to an {@code InvariantViolation} instead of a second dispatch or a wrong report.
 */
public final class Request {

  /** Maximum number of consecutive resumptions of a broken stream without a new frame. */
  public static final int MAX_RESUMES_WITHOUT_PROGRESS = 5;

  private final Ticket ticket;
  private final RouteTarget asked;
  private final long receivedNs;
  private final long firstSequence;
  private final long deadlineNs;

  private RequestState state = RequestState.RECEIVED;
  private UpstreamTarget target;
  private Incarnation grantedIncarnation;
  private FrameSequenceValidator frames;
  private int dispatches;
  private boolean refusedByUpstream;
  private ClaimState holderState;
  private boolean markCallerDisconnected;
  private int attempt;
  private int resumesWithoutProgress;
  private long dispatchedNs;
  private long grantedNs;
  private long lastProgressNs;
  private int outputFrames;
  private Outcome outcome;

  /**
   * Creates a request that has just been received.
   *
   * @param ticket its ticket, with the times as of now
   * @param asked the target of its route
   * @param receivedNs monotonic time of its arrival
   * @param firstSequence sequence number of the first frame that the caller has not received, if
   *     the stream of an earlier request is taken over
   */
  public Request(Ticket ticket, RouteTarget asked, long receivedNs, long firstSequence) {
    this.asked = Objects.requireNonNull(asked, "asked");
    this.ticket = Objects.requireNonNull(ticket, "ticket");
    this.receivedNs = receivedNs;
    this.firstSequence = firstSequence;
    this.deadlineNs =
        ticket.deadlineMs() == 0 ? 0 : receivedNs + Millis.toNanos(ticket.deadlineMs());
  }

  /** Records that the request was offered to the scheduler of its pool. */
  public void markOffered() {
    if (state == RequestState.RECEIVED) {
      transitionTo(RequestState.WAITING);
    }
  }

  /**
   * Assigns the granted upstream to the request.
   *
   * @param upstream the upstream
   * @param upstreamIncarnation the incarnation of the upstream that the grant is for
   * @param nowNs monotonic time
   * @return the number of the connection attempt that can now be made
   */
  public int grant(UpstreamTarget upstream, Incarnation upstreamIncarnation, long nowNs) {
    transitionTo(RequestState.GRANTED);
    target = upstream;
    grantedIncarnation = upstreamIncarnation;
    grantedNs = nowNs;
    return ++attempt;
  }

  /** Declines the grant, so that the request waits again; nothing was written to the upstream. */
  public void declineGrant() {
    Invariant.check(dispatches == 0, InvariantName.DISPATCHED_AT_MOST_ONCE);
    transitionTo(RequestState.WAITING);
    target = null;
    attempt++;
  }

  /**
   * Records that the first byte is about to be written to the upstream.
   *
   * @param nowNs monotonic time
   */
  public void dispatch(long nowNs) {
    Invariant.check(dispatches == 0, InvariantName.DISPATCHED_AT_MOST_ONCE);
    transitionTo(RequestState.DISPATCHED);
    dispatches++;
    dispatchedNs = nowNs;
    lastProgressNs = nowNs;
    frames = new FrameSequenceValidator(ticket.request(), 0);
  }

  /**
   * Takes over the stream of an earlier request with the same idempotency key. This is not a
   * dispatch, since the upstream only replays what it generated for the earlier request.
   *
   * @param holder the earlier request
   * @param holderStateNow claim state of the earlier request
   * @param upstream the upstream that has the stream
   * @param nowNs monotonic time
   * @return the number of the connection attempt that can now be made
   */
  public int adopt(
      RequestId holder, ClaimState holderStateNow, UpstreamTarget upstream, long nowNs) {
    Invariant.check(dispatches == 0, InvariantName.DISPATCHED_AT_MOST_ONCE);
    transitionTo(RequestState.STREAMING);
    holderState = holderStateNow;
    target = upstream;
    dispatchedNs = nowNs;
    lastProgressNs = nowNs;
    frames = new FrameSequenceValidator(holder, firstSequence);
    return ++attempt;
  }

  /** Records that the upstream explicitly refused the request without executing it. */
  public void markRefusedByUpstream() {
    Invariant.check(state == RequestState.DISPATCHED, InvariantName.NOT_RUN_IS_TRUE);
    refusedByUpstream = true;
  }

  /**
   * Validates a received frame.
   *
   * @param frame the frame
   * @return how to handle it; only {@code NEXT} may be delivered to the caller
   */
  public FrameDisposition accept(StreamFrame frame) {
    Invariant.check(state.isDispatched(), InvariantName.FRAMES_IN_ORDER);
    FrameDisposition verdict = frames.accept(frame);
    if (verdict == FrameDisposition.NEXT) {
      startStreaming();
      resumesWithoutProgress = 0;
      outputFrames += frame instanceof StreamFrame.Text ? 1 : 0;
    }
    return verdict;
  }

  /** Records that the answer has started; called directly for plain services. */
  public void startStreaming() {
    if (state == RequestState.DISPATCHED) {
      transitionTo(RequestState.STREAMING);
    }
  }

  /**
   * Starts another attempt to resume the stream after its connection broke, if that is allowed.
   *
   * @return whether the stream may be resumed; false once the limit of resumptions is reached
   */
  public boolean tryResume() {
    boolean resumable = ticket.kind() == RequestKind.GENERATION && state.isDispatched();
    if (!resumable || resumesWithoutProgress >= MAX_RESUMES_WITHOUT_PROGRESS) {
      return false;
    }
    resumesWithoutProgress++;
    attempt++;
    return true;
  }

  /** Records that the caller has disconnected and no longer reads the answer. */
  public void markCallerDisconnected() {
    markCallerDisconnected = true;
  }

  /**
   * Ends the request.
   *
   * @param end the outcome
   */
  public void end(Outcome end) {
    boolean mayHaveRun = isAdopted() || dispatches > 0 && !refusedByUpstream;
    Invariant.check(!(end instanceof Outcome.NotRun) || !mayHaveRun, InvariantName.NOT_RUN_IS_TRUE);
    Invariant.check(
        !(end instanceof Outcome.Completed) || isComplete(), InvariantName.COMPLETED_ONLY_WHOLE);
    transitionTo(RequestState.ENDED);
    outcome = end;
    attempt++;
  }

  private boolean isComplete() {
    return ticket.kind() == RequestKind.SERVICE_CALL
        ? state == RequestState.STREAMING
        : frames != null && frames.hasEnded();
  }

  private void transitionTo(RequestState next) {
    Invariant.check(state.canTransitionTo(next), InvariantName.REQUEST_STATE_FORWARD);
    state = next;
  }

  /** Returns the request's id. */
  public RequestId id() {
    return ticket.request();
  }

  /** Returns the target that its route had when it was admitted. */
  public RouteTarget asked() {
    return asked;
  }

  /** Returns the ticket as it was on arrival. */
  public Ticket ticket() {
    return ticket;
  }

  /**
   * Returns the ticket with its times updated to the given time.
   *
   * @param nowNs monotonic time
   */
  public Ticket ticketAt(long nowNs) {
    long remainingMs = deadlineNs == 0 ? 0 : Math.max(1, Millis.ofNanos(deadlineNs - nowNs));
    return new Ticket(
        ticket.request(),
        ticket.customer(),
        ticket.tier(),
        ticket.route(),
        ticket.pool(),
        ticket.kind(),
        ticket.promptTokens(),
        ticket.expectedOutputTokens(),
        ticket.prefixBlocks(),
        Millis.ofNanos(nowNs - receivedNs),
        remainingMs,
        ticket.claim());
  }

  /** Returns the state of the request. */
  public RequestState state() {
    return state;
  }

  /** Returns the upstream that was granted or whose stream was taken over, if any. */
  public Optional<UpstreamTarget> target() {
    return Optional.ofNullable(target);
  }

  /** Returns the granted incarnation of the upstream; null before the first grant. */
  public Incarnation grantedIncarnation() {
    return grantedIncarnation;
  }

  /** Returns the stream that its frames belong to: its own, or the one it has taken over. */
  public RequestId stream() {
    return frames == null ? id() : frames.stream();
  }

  /** Returns the sequence number of the next frame that the caller has not received. */
  public long nextSequence() {
    return frames == null ? 0 : frames.nextSequence();
  }

  /** Returns the number of the latest connection attempt; events of earlier ones are stale. */
  public int attempt() {
    return attempt;
  }

  /** Returns the number of consecutive resumptions of the stream without a new frame. */
  public int resumesWithoutProgress() {
    return resumesWithoutProgress;
  }

  /** Returns the claim state of the request whose stream was taken over, if one was. */
  public Optional<ClaimState> holderState() {
    return Optional.ofNullable(holderState);
  }

  /** Returns whether the request was dispatched. */
  public boolean wasDispatched() {
    return dispatches > 0;
  }

  /**
   * Returns the time since the arrival of the request, in milliseconds.
   *
   * @param nowNs monotonic time
   */
  public long waitedMs(long nowNs) {
    return Millis.ofNanos(nowNs - receivedNs);
  }

  /**
   * Returns whether a progress report to the scheduler is due, and records it as sent if so.
   *
   * @param nowNs monotonic time
   * @param intervalNs minimum time between two reports
   */
  public boolean isProgressDue(long nowNs, long intervalNs) {
    if (nowNs - lastProgressNs < intervalNs) {
      return false;
    }
    lastProgressNs = nowNs;
    return true;
  }

  /** Returns whether the stream of an earlier request was taken over. */
  public boolean isAdopted() {
    return holderState != null;
  }

  /**
   * Returns the outcome to report when the complete answer can no longer be obtained.
   *
   * @param reason the reason
   */
  public Outcome failure(FailureReason reason) {
    return isAdopted()
        ? new Outcome.HeldByEarlier(stream(), holderState)
        : new Outcome.MayHaveRun(reason);
  }

  /** Returns whether the caller has disconnected and no longer reads the answer. */
  public boolean isCallerDisconnected() {
    return markCallerDisconnected;
  }

  /**
   * Returns whether it has an idempotency key, with which the caller can fetch the answer later.
   */
  public boolean hasIdempotencyKey() {
    return ticket.claim().isPresent();
  }

  /** Returns the deadline as monotonic time in nanoseconds; zero if there is none. */
  public long deadlineNs() {
    return deadlineNs;
  }

  /**
   * Returns the time since the dispatch, or since the grant if it is not dispatched yet.
   *
   * @param nowNs monotonic time
   * @return milliseconds
   */
  public long sinceDispatchMs(long nowNs) {
    return Millis.ofNanos(nowNs - (dispatchedNs == 0 ? grantedNs : dispatchedNs));
  }

  /** Returns the tokens processed so far, as far as the received frames show. */
  public Usage usageSoFar() {
    return new Usage(ticket.promptTokens(), 0, outputFrames);
  }

  /** Returns the outcome, or empty if the request has not ended. */
  public Optional<Outcome> outcome() {
    return Optional.ofNullable(outcome);
  }
}
