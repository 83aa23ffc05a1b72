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
 * Is one request of a caller from its arrival to its outcome.
 *
 * <p>The root guards what callers rely on: at most one dispatch, a truthful "not run", and an
 * answer that is whole and their own. It asserts each, so that a fault anywhere in the program ends
 * in a typed failure and never in a second dispatch or a false word.
 */
public final class Request {

  /** Times in a row that a broken stream is resumed without a new frame. */
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
   * Creates a request that has just been read.
   *
   * @param ticket its ticket, as of now
   * @param asked what its route leads to
   * @param receivedNs monotonic time of its arrival
   * @param firstSequence the first frame that its caller lacks, if an earlier request's stream is
   *     taken over
   */
  public Request(Ticket ticket, RouteTarget asked, long receivedNs, long firstSequence) {
    this.asked = Objects.requireNonNull(asked, "asked");
    this.ticket = Objects.requireNonNull(ticket, "ticket");
    this.receivedNs = receivedNs;
    this.firstSequence = firstSequence;
    this.deadlineNs =
        ticket.deadlineMs() == 0 ? 0 : receivedNs + Millis.toNanos(ticket.deadlineMs());
  }

  /** Notes that the request was offered to its pool's scheduler. */
  public void markOffered() {
    if (state == RequestState.RECEIVED) {
      become(RequestState.WAITING);
    }
  }

  /**
   * Gives the request its upstream.
   *
   * @param upstream the upstream
   * @param upstreamIncarnation which life of the upstream is meant
   * @param nowNs monotonic time
   * @return the number of the connection attempt that may now be made
   */
  public int grant(UpstreamTarget upstream, Incarnation upstreamIncarnation, long nowNs) {
    become(RequestState.GRANTED);
    target = upstream;
    grantedIncarnation = upstreamIncarnation;
    grantedNs = nowNs;
    return ++attempt;
  }

  /** Takes the upstream away again; nothing was written to it. */
  public void declineGrant() {
    Invariant.check(dispatches == 0, InvariantName.DISPATCHED_AT_MOST_ONCE);
    become(RequestState.WAITING);
    target = null;
    attempt++;
  }

  /**
   * Notes that the first byte is about to be written to the upstream.
   *
   * @param nowNs monotonic time
   */
  public void dispatch(long nowNs) {
    Invariant.check(dispatches == 0, InvariantName.DISPATCHED_AT_MOST_ONCE);
    become(RequestState.DISPATCHED);
    dispatches++;
    dispatchedNs = nowNs;
    lastProgressNs = nowNs;
    frames = new FrameSequenceValidator(ticket.request(), 0);
  }

  /**
   * Takes over the stream of an earlier request under the same key. It is no dispatch: the upstream
   * only sends again what it made for the holder.
   *
   * @param holder the earlier request
   * @param holderStateNow how far the earlier request had come
   * @param upstream where its stream is
   * @param nowNs monotonic time
   * @return the number of the connection attempt that may now be made
   */
  public int adopt(
      RequestId holder, ClaimState holderStateNow, UpstreamTarget upstream, long nowNs) {
    Invariant.check(dispatches == 0, InvariantName.DISPATCHED_AT_MOST_ONCE);
    become(RequestState.STREAMING);
    holderState = holderStateNow;
    target = upstream;
    dispatchedNs = nowNs;
    lastProgressNs = nowNs;
    frames = new FrameSequenceValidator(holder, firstSequence);
    return ++attempt;
  }

  /** Notes the upstream's explicit word that it refused the request before it ran. */
  public void markRefusedByUpstream() {
    Invariant.check(state == RequestState.DISPATCHED, InvariantName.NOT_RUN_IS_TRUE);
    refusedByUpstream = true;
  }

  /**
   * Judges a frame.
   *
   * @param frame the frame
   * @return what becomes of it; only the next frame may reach the caller
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

  /** Notes that a plain service has begun to answer. */
  public void startStreaming() {
    if (state == RequestState.DISPATCHED) {
      become(RequestState.STREAMING);
    }
  }

  /**
   * Tries to go on after a broken connection.
   *
   * @return whether the stream may be resumed; not if it has been tried too often
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

  /** Notes that no one reads the answer any more. */
  public void markCallerDisconnected() {
    markCallerDisconnected = true;
  }

  /**
   * Ends the request.
   *
   * @param end how
   */
  public void end(Outcome end) {
    boolean mayHaveRun = isAdopted() || dispatches > 0 && !refusedByUpstream;
    Invariant.check(!(end instanceof Outcome.NotRun) || !mayHaveRun, InvariantName.NOT_RUN_IS_TRUE);
    Invariant.check(
        !(end instanceof Outcome.Completed) || isWhole(), InvariantName.COMPLETED_ONLY_WHOLE);
    become(RequestState.ENDED);
    outcome = end;
    attempt++;
  }

  private boolean isWhole() {
    return ticket.kind() == RequestKind.SERVICE_CALL
        ? state == RequestState.STREAMING
        : frames != null && frames.hasEnded();
  }

  private void become(RequestState next) {
    Invariant.check(state.canTransitionTo(next), InvariantName.REQUEST_STATE_FORWARD);
    state = next;
  }

  /** Returns the request's id. */
  public RequestId id() {
    return ticket.request();
  }

  /** Returns what its route led to when it was admitted. */
  public RouteTarget asked() {
    return asked;
  }

  /** Returns the ticket as it was on arrival. */
  public Ticket ticket() {
    return ticket;
  }

  /**
   * Returns the ticket with its times as of now.
   *
   * @param nowNs monotonic time
   */
  public Ticket ticketAt(long nowNs) {
    long leftMs = deadlineNs == 0 ? 0 : Math.max(1, Millis.ofNanos(deadlineNs - nowNs));
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
        leftMs,
        ticket.claim());
  }

  /** Returns how far the request has come. */
  public RequestState state() {
    return state;
  }

  /** Returns the upstream it was given, if any. */
  public Optional<UpstreamTarget> target() {
    return Optional.ofNullable(target);
  }

  /** Returns the life of the upstream that was granted; meaningful after a grant only. */
  public Incarnation grantedIncarnation() {
    return grantedIncarnation;
  }

  /** Returns the stream that its frames belong to: its own, or the one that it adopted. */
  public RequestId stream() {
    return frames == null ? id() : frames.stream();
  }

  /** Returns the number of the next frame the caller lacks. */
  public long nextSequence() {
    return frames == null ? 0 : frames.nextSequence();
  }

  /** Returns the number of the newest connection attempt; events of older ones are late. */
  public int attempt() {
    return attempt;
  }

  /** Returns how often in a row the stream was resumed without a new frame. */
  public int resumesWithoutProgress() {
    return resumesWithoutProgress;
  }

  /** Returns how far the holder had come whose stream was taken over, if one was. */
  public Optional<ClaimState> holderState() {
    return Optional.ofNullable(holderState);
  }

  /** Returns whether it was ever dispatched. */
  public boolean wasDispatched() {
    return dispatches > 0;
  }

  /**
   * Returns the time since its arrival in milliseconds.
   *
   * @param nowNs monotonic time
   */
  public long waitedMs(long nowNs) {
    return Millis.ofNanos(nowNs - receivedNs);
  }

  /**
   * Returns whether the scheduler is to be told of its progress, and notes that it is.
   *
   * @param nowNs monotonic time
   * @param intervalNs time between two reports
   */
  public boolean isProgressDue(long nowNs, long intervalNs) {
    if (nowNs - lastProgressNs < intervalNs) {
      return false;
    }
    lastProgressNs = nowNs;
    return true;
  }

  /** Returns whether it took over the stream of an earlier request. */
  public boolean isAdopted() {
    return holderState != null;
  }

  /**
   * Returns the outcome when the answer can't be had whole any more.
   *
   * @param reason why
   */
  public Outcome failure(FailureReason reason) {
    return isAdopted()
        ? new Outcome.HeldByEarlier(stream(), holderState)
        : new Outcome.MayHaveRun(reason);
  }

  /** Returns whether no one reads the answer any more. */
  public boolean isCallerDisconnected() {
    return markCallerDisconnected;
  }

  /** Returns whether it carries a key, so that its caller may come back for the answer. */
  public boolean hasIdempotencyKey() {
    return ticket.claim().isPresent();
  }

  /** Returns when its deadline passes, in monotonic nanoseconds; zero if it has none. */
  public long deadlineNs() {
    return deadlineNs;
  }

  /**
   * Returns the time since its dispatch, or since its grant before that.
   *
   * @param nowNs monotonic time
   * @return milliseconds
   */
  public long sinceDispatchMs(long nowNs) {
    return Millis.ofNanos(nowNs - (dispatchedNs == 0 ? grantedNs : dispatchedNs));
  }

  /** Returns the work done so far, as far as frames tell. */
  public Usage usageSoFar() {
    return new Usage(ticket.promptTokens(), 0, outputFrames);
  }

  /** Returns how it ended, once it has. */
  public Optional<Outcome> outcome() {
    return Optional.ofNullable(outcome);
  }
}
