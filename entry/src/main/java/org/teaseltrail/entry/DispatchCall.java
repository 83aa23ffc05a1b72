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
 * Is a connection that a request is dispatched over, in two steps: it stands, and is written to
 * only once the node has noted the dispatch.
 *
 * <p>Guards against a failure that could be before or after the first byte, which would show as a
 * request run twice, or as a false "not run". Before {@link #transmit} nothing is ever written.
 */
abstract class DispatchCall implements UpstreamCall {

  private final NodeLoop loop;
  private final RequestId request;
  private final int attempt;
  private final Sinks.Empty<Void> permission = Sinks.empty();
  private final Disposable.Swap subscription = Disposables.swap();
  private boolean transmitted;
  private boolean closed;

  DispatchCall(NodeLoop loop, RequestId request, int attempt) {
    this.loop = loop;
    this.request = request;
    this.attempt = attempt;
  }

  /** Makes the connection. */
  abstract void connect(UpstreamTarget target);

  final void subscribed(Disposable call) {
    subscription.update(call);
  }

  /** Tells the node that the connection stands, and writes the body once it may. */
  final Publisher<Void> sendWhenPermitted(NettyOutbound out, byte[] body) {
    loop.submit(new EntryEvent.UpstreamConnected(request, attempt));
    return permission.asMono().then(Mono.defer(() -> write(out, body)));
  }

  private static Mono<Void> write(NettyOutbound out, byte[] body) {
    return body.length == 0 ? out.then() : out.sendByteArray(Mono.just(body)).then();
  }

  /** Writes the request to the connection that stands. */
  final void transmit() {
    transmitted = true;
    permission.tryEmitEmpty();
  }

  /** Tells the node that the connection has ended without a whole answer. */
  final void broken() {
    loop.run(
        () ->
            handle(
                transmitted
                    ? new EntryEvent.StreamBroken(request, attempt)
                    : new EntryEvent.UpstreamConnectFailed(request, attempt)));
  }

  /** Passes an event of this connection to the node, unless it was closed. */
  final void tell(EntryEvent event) {
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
