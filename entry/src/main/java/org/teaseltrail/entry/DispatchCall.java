package org.teaseltrail.entry;

import org.reactivestreams.Publisher;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.UpstreamTarget;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.NettyOutbound;

/**
 * An upstream call that dispatches a request in two steps: it connects, and writes the request only
 * after the node has recorded the dispatch.
 *
 * <p>Nothing is written before {@link #transmit}. Otherwise a failure could not be attributed to
 * the time before or after the first byte: a request could run twice, or be reported as not run
 * although it ran.
 */
abstract class DispatchCall implements UpstreamCall {

  private final NodeEventLoop loop;
  private final RequestId request;
  private final int attempt;
  private final Sinks.Empty<Void> transmitSignal = Sinks.empty();
  private final Disposable.Swap subscription = Disposables.swap();
  private boolean transmitted;
  private boolean closed;

  DispatchCall(NodeEventLoop loop, RequestId request, int attempt) {
    this.loop = loop;
    this.request = request;
    this.attempt = attempt;
  }

  /** Opens the connection to the upstream. */
  abstract void connect(UpstreamTarget target);

  final void setSubscription(Disposable call) {
    subscription.update(call);
  }

  /** Reports the established connection to the node and writes the body after {@link #transmit}. */
  final Publisher<Void> sendAfterTransmit(NettyOutbound out, byte[] body) {
    loop.submit(new EntryEvent.UpstreamConnected(request, attempt));
    return transmitSignal.asMono().then(Mono.defer(() -> write(out, body)));
  }

  private static Mono<Void> write(NettyOutbound out, byte[] body) {
    return body.length == 0 ? out.then() : out.sendByteArray(Mono.just(body)).then();
  }

  /** Allows the request to be written to the established connection. */
  final void transmit() {
    transmitted = true;
    transmitSignal.tryEmitEmpty();
  }

  /** Reports to the node that the connection ended without a complete response. */
  final void broken() {
    loop.run(
        () ->
            handle(
                transmitted
                    ? new EntryEvent.StreamBroken(request, attempt)
                    : new EntryEvent.UpstreamConnectFailed(request, attempt)));
  }

  /** Submits an event of this call to the node, unless the call has been closed. */
  final void submitEvent(EntryEvent event) {
    loop.run(() -> handle(event));
  }

  private void handle(EntryEvent event) {
    if (!closed) {
      loop.handle(event);
    }
  }

  @Override
  public final void close() {
    closed = true;
    subscription.dispose();
  }

  final RequestId request() {
    return request;
  }

  final int attempt() {
    return attempt;
  }
}
