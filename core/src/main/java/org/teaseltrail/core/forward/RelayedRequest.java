package org.teaseltrail.core.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.serving.PeerVm;
import org.teaseltrail.core.stream.StreamOrigin;

/** A caller's request that this VM relays to a peer, and what it did with it before. */
final class RelayedRequest {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time for the peer's final answer, which it gives at the request's deadline, to arrive. */
  private static final long ANSWER_GRACE_NS = 100 * NS_PER_MS;

  /** Maximum number of peers that one request is relayed to, one after the other. */
  private static final int MAX_PEERS = 3;

  private final ForwardRequest request;
  private final PlanRoute route;
  private final ServiceId service;
  private final Optional<CustomerId> customer;
  private final long arrivedNs;
  private final boolean triedHere;
  private final Set<VmId> triedPeers = new HashSet<>();
  private Optional<PeerVm> currentPeer = Optional.empty();
  private Optional<StreamOrigin> origin = Optional.empty();
  private int sends;
  private boolean maybeRan;

  private RelayedRequest(
      ForwardRequest request,
      PlanRoute route,
      ServiceId service,
      Optional<CustomerId> customer,
      long arrivedNs,
      boolean triedHere) {
    this.request = request;
    this.route = route;
    this.service = service;
    this.customer = customer;
    this.arrivedNs = arrivedNs;
    this.triedHere = triedHere;
  }

  /** Creates the relay of a request that this VM has only matched with its route. */
  static RelayedRequest ofArrival(
      ForwardRequest request, PlanRoute route, ServiceId service, long arrivedNs) {
    return new RelayedRequest(request, route, service, Optional.empty(), arrivedNs, false);
  }

  /** Creates the relay of a request that this VM has admitted. */
  static RelayedRequest ofActive(ActiveRequest active) {
    RelayedRequest relayed =
        new RelayedRequest(
            active.request(),
            active.route(),
            active.service(),
            active.customer(),
            active.arrivedNs(),
            true);
    relayed.sends = active.sends();
    relayed.maybeRan = active.maybeRan();
    relayed.origin = active.origin();
    return relayed;
  }

  ForwardRequest request() {
    return request;
  }

  long number() {
    return request.number();
  }

  PlanRoute route() {
    return route;
  }

  ServiceId service() {
    return service;
  }

  Optional<CustomerId> customer() {
    return customer;
  }

  long arrivedNs() {
    return arrivedNs;
  }

  /** Returns whether this VM has admitted the request before it relayed it. */
  boolean isTriedHere() {
    return triedHere;
  }

  boolean maybeRan() {
    return maybeRan;
  }

  Set<VmId> triedPeers() {
    return triedPeers;
  }

  boolean canTryOtherPeer() {
    return triedPeers.size() < MAX_PEERS;
  }

  PeerVm currentPeer() {
    return currentPeer.orElseThrow();
  }

  void start(PeerVm peer) {
    currentPeer = Optional.of(peer);
    triedPeers.add(peer.vm());
  }

  /** Records that the peer may have sent the request to an upstream, which may have run it. */
  void markMaybeRan() {
    maybeRan = true;
    sends++;
  }

  /** Returns what began its stream, if that is known. */
  Optional<StreamOrigin> origin() {
    return origin;
  }

  /** Records what began the request's stream at a peer. */
  void setOrigin(StreamOrigin begunAt) {
    origin = Optional.of(origin.orElse(begunAt));
  }

  /** Returns whether a request that may have run can be sent to one more upstream. */
  boolean canRunAgain(long nowNs) {
    return route.canRetry() && sends < route.maxAttempts() && nowNs < dueNs();
  }

  /** Returns when the final answer is due. */
  private long dueNs() {
    return request.dueNs(route, arrivedNs);
  }

  /** Returns when the peer's final answer must have arrived. */
  long expiryNs() {
    return dueNs() + ANSWER_GRACE_NS;
  }

  RelayHop hop(VmId from, long nowNs) {
    return new RelayHop(from, (nowNs - arrivedNs) / NS_PER_MS, sends, maybeRan, origin);
  }
}
