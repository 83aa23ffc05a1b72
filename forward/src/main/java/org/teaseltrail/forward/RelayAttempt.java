package org.teaseltrail.forward;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.core.serving.PeerVm;
import org.teaseltrail.core.stream.StreamOrigin;

/** An attempt at a peer, which returns the final answer in place of an upstream. */
final class RelayAttempt extends ExchangeAttempt {

  private final ForwardAction.Relay relay;
  private Optional<RelayOutcome> named = Optional.empty();

  RelayAttempt(ForwardServer server, Exchange exchange, ForwardAction.Relay relay) {
    super(server, exchange);
    this.relay = relay;
  }

  @Override
  void start() {
    PeerVm peer = relay.peer();
    server()
        .peerPool()
        .acquire(peer.vm(), peer.address(), requestId(), this::onConnected, this::onConnectFailed);
  }

  @Override
  void giveBack(UpstreamConnection made) {
    server().peerPool().release(made);
  }

  @Override
  boolean canSend() {
    return true;
  }

  @Override
  void writeHeaders(FullHttpRequest call) {
    server().headerCodec().writeResumption(call.headers(), exchange().events().lastEventId());
    RelayHeaders.writeHop(call.headers(), relay.hop());
  }

  @Override
  boolean onHead(HttpResponse response, ResponseHead read) {
    named = RelayHeaders.takeOutcome(response.headers()).filter(this::canMean);
    takeOrigin(response.headers()).ifPresent(origin -> server().onRelayOrigin(exchange(), origin));
    return named.map(outcome -> !outcome.needsOtherPeer()).orElse(false);
  }

  /**
   * Returns whether the response can be what it says it is. A peer passes on a success only with
   * its upstream's signature, and guarantees that a request did not run only by a refusal.
   */
  private boolean canMean(RelayOutcome outcome) {
    if (outcome == RelayOutcome.ANSWERED) {
      return !isUnsignedSuccess() && !guaranteesNotRun();
    }
    return !isSuccess();
  }

  private static Optional<StreamOrigin> takeOrigin(HttpHeaders headers) {
    try {
      return RelayHeaders.takeOrigin(headers);
    } catch (IllegalArgumentException e) {
      // A stream of unknown origin goes on at no other peer; its answer is still valid.
      return Optional.empty();
    }
  }

  /** Empty: a request that a peer has relayed to this VM is not relayed again. */
  @Override
  Optional<StreamOrigin> origin() {
    return Optional.empty();
  }

  @Override
  void onCompleted() {
    end(isComplete() ? AttemptOutcome.ANSWERED : AttemptOutcome.BROKEN);
  }

  /** Returns whether the answer can end the request; one to a resumed stream must be a stream. */
  private boolean isComplete() {
    if (forwardsEvents()) {
      return isStreamWhole();
    }
    return named.isPresent() && !exchange().hasResponseStarted();
  }

  @Override
  void report(AttemptOutcome outcome) {
    server().onRelayEnded(exchange(), relayOutcome(outcome));
  }

  private RelayOutcome relayOutcome(AttemptOutcome outcome) {
    return switch (outcome) {
      case ANSWERED -> named.orElse(RelayOutcome.BROKEN);
      case NOT_CONNECTED -> RelayOutcome.NOT_CONNECTED;
      default -> RelayOutcome.BROKEN;
    };
  }
}
