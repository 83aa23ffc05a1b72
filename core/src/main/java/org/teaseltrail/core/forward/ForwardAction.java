package org.teaseltrail.core.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.relay.ProbeKind;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.serving.PeerVm;
import org.teaseltrail.core.serving.ServingMessage;

/**
 * An action that the request forwarding of an entry VM requests from its caller. Actions are
 * carried out in the order in which they are returned.
 */
public sealed interface ForwardAction {

  /**
   * Returns the request that the action is about.
   *
   * @return the request's number, empty if the action isn't about one request
   */
  default OptionalLong requestNumber() {
    return OptionalLong.empty();
  }

  /**
   * Sends a request to an upstream.
   *
   * @param request the request's number
   * @param attempt number of the attempt at this request, from 1
   * @param upstream the upstream's registration
   * @param route the request's route
   * @param customer the customer whose key the request carries
   * @param remainingMs time that is left for the upstream's response, in milliseconds
   * @param canary whether the request goes to a rollout's target version that is still a canary
   * @param expectedFirstEventMs expected time to the first event, in milliseconds, where upstreams
   *     are chosen by it
   */
  record Dispatch(
      long request,
      int attempt,
      Registration upstream,
      PlanRoute route,
      Optional<CustomerId> customer,
      long remainingMs,
      boolean canary,
      OptionalDouble expectedFirstEventMs)
      implements ForwardAction {

    @Override
    public OptionalLong requestNumber() {
      return OptionalLong.of(request);
    }
  }

  /**
   * Relays a request to a peer, which answers it in place of an upstream; the end is to be passed
   * to {@link ForwardNode#onRelayEnded}.
   *
   * @param request the request's number
   * @param peer the peer
   * @param route the request's route
   * @param customer the customer whose key the request carries, if this VM has determined it
   * @param hop what the peer has to know of the request
   */
  record Relay(
      long request, PeerVm peer, PlanRoute route, Optional<CustomerId> customer, RelayHop hop)
      implements ForwardAction {

    @Override
    public OptionalLong requestNumber() {
      return OptionalLong.of(request);
    }
  }

  /**
   * Cancels an attempt, so that the upstream stops processing the request.
   *
   * @param request the request's number
   */
  record Cancel(long request) implements ForwardAction {

    @Override
    public OptionalLong requestNumber() {
      return OptionalLong.of(request);
    }
  }

  /**
   * Delivers the response of the attempt that has just ended to the caller.
   *
   * @param request the request's number
   */
  record Deliver(long request) implements ForwardAction {

    @Override
    public OptionalLong requestNumber() {
      return OptionalLong.of(request);
    }
  }

  /**
   * Rejects a request without an upstream's response. If a streamed response has started, the
   * stream is aborted instead.
   *
   * @param request the request's number
   * @param refusalReason the reason
   * @param retryAfterMs when the caller may retry, in milliseconds; 0 if unknown
   * @param route the request's route, empty if none was found
   * @param customer the customer whose key the request carries, if that is known
   * @param expectedWaitMs the forecast wait for a slot, in milliseconds, if it decided
   * @param stage where the request was, if a planned stop of this VM ended it
   */
  record Refuse(
      long request,
      RefusalReason refusalReason,
      long retryAfterMs,
      Optional<PlanRoute> route,
      Optional<CustomerId> customer,
      OptionalLong expectedWaitMs,
      Optional<RequestStage> stage)
      implements ForwardAction {

    @Override
    public OptionalLong requestNumber() {
      return OptionalLong.of(request);
    }

    /** Refuses a request before it was matched with a route and a customer. */
    static Refuse beforeRouting(long request, RefusalReason refusal, long retryAfterMs) {
      return new Refuse(
          request,
          refusal,
          retryAfterMs,
          Optional.empty(),
          Optional.empty(),
          OptionalLong.empty(),
          Optional.empty());
    }

    /** Refuses a request whose route and customer are known. */
    static Refuse of(ActiveRequest request, RefusalReason refusal, long retryAfterMs) {
      return of(request.number(), request.route(), request.customer(), refusal, retryAfterMs);
    }

    /** Refuses a request whose route is known. */
    static Refuse of(
        long request,
        PlanRoute route,
        Optional<CustomerId> customer,
        RefusalReason refusal,
        long retryAfterMs) {
      return new Refuse(
          request,
          refusal,
          retryAfterMs,
          Optional.of(route),
          customer,
          OptionalLong.empty(),
          Optional.empty());
    }

    /** Refuses a request by the forecast wait for a slot. */
    static Refuse byForecast(ActiveRequest request, long expectedWaitMs, long retryAfterMs) {
      return new Refuse(
          request.number(),
          RefusalReason.FORECAST,
          retryAfterMs,
          Optional.of(request.route()),
          request.customer(),
          OptionalLong.of(expectedWaitMs),
          Optional.empty());
    }

    /**
     * Returns this refusal with the stage at which a planned stop ended the request.
     *
     * @param reached how far the request had got
     * @return a copy that tells it
     */
    public Refuse at(RequestStage reached) {
      return new Refuse(
          request,
          refusalReason,
          retryAfterMs,
          route,
          customer,
          expectedWaitMs,
          Optional.of(reached));
    }
  }

  /**
   * Probes the path to an upstream without a caller's request; the result is to be passed to {@link
   * ForwardNode#onProbeEnded}.
   *
   * @param upstream the upstream's registration
   * @param kind how to probe
   * @param healthPath path of the health check for probes that ask for an answer, if it is known
   */
  record Probe(Registration upstream, ProbeKind kind, Optional<String> healthPath)
      implements ForwardAction {}

  /**
   * Notifies that this VM has lost, or regained, the paths to all upstreams of a service. Idle
   * connections to them are to be closed.
   *
   * @param service the service
   * @param lost whether the paths are lost
   * @param upstreams the service's upstreams
   */
  record PathChanged(ServiceId service, boolean lost, List<UpstreamIncarnation> upstreams)
      implements ForwardAction {
    /** Copies the list. */
    public PathChanged {
      upstreams = List.copyOf(upstreams);
    }
  }

  /**
   * Ends the connections of callers without a request that has been read whole: this VM takes no
   * request any more.
   */
  record StopAccepting() implements ForwardAction {}

  /**
   * Sends a message to a control member.
   *
   * @param member the member's VM
   * @param message the message
   */
  record SendControl(VmId member, ServingMessage message) implements ForwardAction {}

  /**
   * Keeps connections open to exactly these control members.
   *
   * @param members their VMs
   */
  record ConnectToMembers(List<VmId> members) implements ForwardAction {}
}
