package org.teaseltrail.core.entry;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.WithdrawReason;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.Millis;
import org.teaseltrail.core.request.NotRunReason;
import org.teaseltrail.core.request.Request;

/**
 * State machine of an entry VM whose requests the leader schedules. It makes all of the VM's
 * decisions: which requests to admit, which control member to follow, what to dispatch, and which
 * outcome to send to each caller.
 *
 * <p>It is deterministic and performs no I/O: it receives events with the monotonic time, and
 * returns actions that the process executes in order. It is not thread-safe.
 */
public final class EntryNode {

  private final EntryComponents parts;
  private final RejectedUpstreamTracker rejectedUpstreams = new RejectedUpstreamTracker();
  private final DrainCoordinator drain;
  private final AdmissionHandler admission;
  private final RequestCloser closer;
  private final Dispatcher dispatcher;
  private final StreamHandler streams;
  private final ControlMessageHandler control;
  private final TimerHandler timerHandler;
  private final StallDetector stallDetector = new StallDetector();
  private long nowNs;

  /**
   * Creates a state machine without a session.
   *
   * @param settings the VM's settings
   */
  public EntryNode(EntrySettings settings) {
    parts = new EntryComponents(settings);
    drain = new DrainCoordinator(parts);
    admission = new AdmissionHandler(parts, drain);
    closer = new RequestCloser(parts);
    dispatcher = new Dispatcher(parts, closer);
    streams = new StreamHandler(parts, closer);
    control = new ControlMessageHandler(parts, dispatcher);
    timerHandler = new TimerHandler(parts, closer, streams);
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @param now monotonic time in nanoseconds, not less than in the previous call
   * @return the actions to execute, in order
   */
  public List<EntryAction> handle(EntryEvent event, long now) {
    nowNs = now;
    stallDetector.running(now);
    timerHandler.advance(now);
    if (event instanceof EntryEvent.ControlConnected connected) {
      parts.session.connected(connected.member(), now);
    } else if (event instanceof EntryEvent.ControlDisconnected gone) {
      parts.session.disconnected(gone.member());
    } else if (event instanceof EntryEvent.ControlReceived received) {
      control.received(received.member(), received.message(), now);
    } else if (event instanceof EntryEvent.RequestArrived arrived) {
      admission.arrive(arrived.request(), arrived.call(), now);
    } else if (event instanceof EntryEvent.DrainRequested) {
      drain.request(now);
    } else {
      handleUpstreamEvent(event);
    }
    parts.session.sendDueHellos(now);
    drain.advance(now);
    return parts.actions.drain();
  }

  private void handleUpstreamEvent(EntryEvent event) {
    if (event instanceof EntryEvent.UpstreamConnected e) {
      find(e.request(), e.attempt()).ifPresent(r -> dispatcher.connected(r, nowNs));
    } else if (event instanceof EntryEvent.UpstreamConnectFailed e) {
      find(e.request(), e.attempt()).ifPresent(dispatcher::connectFailed);
    } else if (event instanceof EntryEvent.UpstreamRefused e) {
      find(e.request(), e.attempt()).ifPresent(dispatcher::refusedByUpstream);
    } else if (event instanceof EntryEvent.AnnouncementReceived e) {
      announced(e);
    } else if (event instanceof EntryEvent.CacheEventReceived e) {
      cacheChanged(e);
    } else {
      handleStreamEvent(event);
    }
  }

  private void handleStreamEvent(EntryEvent event) {
    if (event instanceof EntryEvent.FrameReceived e) {
      find(e.request(), e.attempt()).ifPresent(r -> streams.frame(r, e.frame(), nowNs));
    } else if (event instanceof EntryEvent.StreamBroken e) {
      find(e.request(), e.attempt()).ifPresent(r -> streams.broken(r, nowNs));
    } else if (event instanceof EntryEvent.StreamUnknown e) {
      find(e.request(), e.attempt()).ifPresent(r -> streams.unknown(r, nowNs));
    } else if (event instanceof EntryEvent.UpstreamFailed e) {
      find(e.request(), e.attempt()).ifPresent(r -> streams.upstreamFailed(r, e.reason(), nowNs));
    } else if (event instanceof EntryEvent.ServiceAnswering e) {
      find(e.request(), e.attempt()).ifPresent(r -> streams.serviceAnswering(r, nowNs));
    } else if (event instanceof EntryEvent.ServiceCompleted e) {
      find(e.request(), e.attempt()).ifPresent(r -> streams.serviceCompleted(r, nowNs));
    } else {
      handleCallerEvent(event);
    }
  }

  private void handleCallerEvent(EntryEvent event) {
    if (event instanceof EntryEvent.CallerGone e) {
      parts.requests.live(e.request()).ifPresent(this::callerGone);
    } else if (event instanceof EntryEvent.AnswerTooLarge e) {
      parts
          .requests
          .live(e.request())
          .filter(r -> r.state().isDispatched())
          .ifPresent(r -> closer.cancelled(r, FailureReason.ANSWER_TOO_LARGE, nowNs));
    }
  }

  private Optional<Request> find(RequestId id, int attempt) {
    return parts.requests.live(id, attempt);
  }

  /**
   * Handles a caller's disconnection. A dispatched request with an idempotency key continues, since
   * its caller may retrieve the answer through any VM.
   */
  private void callerGone(Request request) {
    request.markCallerDisconnected();
    if (!request.state().isDispatched()) {
      closer.withdraw(request, WithdrawReason.CALLER_GONE, NotRunReason.CANCELLED, 0);
    } else if (request.isAdopted() || !request.hasIdempotencyKey()) {
      closer.cancelled(request, FailureReason.CANCELLED, nowNs);
    }
  }

  private void announced(EntryEvent.AnnouncementReceived heard) {
    UpstreamId upstream = heard.announcement().upstream();
    UpstreamVerdict verdict = parts.upstreams.authorize(upstream, heard.secretHash());
    parts.actions.add(new EntryAction.AnswerUpstream(heard.exchange(), verdict));
    if (rejectedUpstreams.isNewRejection(upstream, verdict)) {
      parts.actions.log(EntryDecisionKind.UPSTREAM, Optional.of(upstream), "verdict=" + verdict);
    }
    long heardNs = stallDetector.earliestArrivalNs(nowNs);
    if (verdict == UpstreamVerdict.ACCEPTED) {
      parts.quarantine.onAnnounced(upstream, heard.announcement().incarnation(), heardNs);
    }
    if (verdict == UpstreamVerdict.ACCEPTED
        && parts.upstreams.storeIfNewer(heard.announcement(), heardNs)) {
      long ageMs = Millis.ofNanos(nowNs - heardNs);
      parts.session.sendToLeader(new EntryMessage.UpstreamSeen(heard.announcement(), ageMs));
    }
  }

  private void cacheChanged(EntryEvent.CacheEventReceived heard) {
    UpstreamVerdict verdict =
        parts.upstreams.authorize(heard.event().upstream(), heard.secretHash());
    parts.actions.add(new EntryAction.AnswerUpstream(heard.exchange(), verdict));
    if (verdict == UpstreamVerdict.ACCEPTED) {
      parts.session.sendToLeader(new EntryMessage.CacheSeen(heard.event()));
    }
  }

  /**
   * Returns the time at which the VM needs a tick unless another event arrives earlier.
   *
   * @return monotonic time in nanoseconds, or empty if no timer is pending
   */
  public OptionalLong nextWakeupNs() {
    return LongStream.concat(
            LongStream.concat(
                parts.session.nextHelloNs().stream(), timerHandler.nextWakeupNs(nowNs).stream()),
            drain.nextWakeupNs().stream())
        .min();
  }

  /**
   * Returns whether the load balancer may send requests to this VM.
   *
   * @param now monotonic time in nanoseconds
   */
  public boolean isReady(long now) {
    return !drain.isRequested() && parts.session.isValid(now);
  }

  /**
   * Returns the state of a request if it belongs to the customer with the API key.
   *
   * @param request the request
   * @param keyHash SHA-256 of the API key in lower-case hexadecimal, if the caller sent one
   * @return empty if the customer has no such request on this VM
   */
  public Optional<RequestStatus> findOwnedRequest(RequestId request, Optional<String> keyHash) {
    Optional<CustomerId> customer = parts.configuration.customer(keyHash).map(c -> c.id());
    return parts
        .requests
        .status(request)
        .filter(known -> customer.equals(Optional.of(known.customer())));
  }

  /**
   * Returns whether a key belongs to a customer.
   *
   * @param keyHash SHA-256 of the API key in lower-case hexadecimal, if the caller sent one
   */
  public boolean isCustomer(Optional<String> keyHash) {
    return parts.configuration.customer(keyHash).isPresent();
  }

  /** Returns the counts for the VM's metrics. */
  public EntryStatus status() {
    return EntryStatus.of(parts, nowNs);
  }
}
