package org.teaseltrail.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.request.UpstreamTarget;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClientResponse;

/** Forwards a request to a plain service and relays the response. */
final class ServiceForwardCall extends DispatchCall {

  private final UpstreamCallFactory calls;
  private final ServiceExchange exchange;

  ServiceForwardCall(UpstreamCallFactory calls, ServiceExchange exchange, int attempt) {
    super(calls.loop(), exchange.request(), attempt);
    this.calls = calls;
    this.exchange = exchange;
  }

  @Override
  void connect(UpstreamTarget target) {
    ServiceRequest asked = exchange.asked();
    setSubscription(
        calls
            .client(target)
            .headers(this::writeHeaders)
            .request(asked.method())
            .uri(asked.pathAndQuery())
            .send((head, out) -> sendAfterTransmit(out, asked.body()))
            .responseConnection(this::relayResponse)
            .subscribe(ignored -> {}, failure -> broken()));
  }

  private void writeHeaders(HttpHeaders headers) {
    ForwardedHeaderFilter.copyForwarded(exchange.asked().headers(), headers::add);
    headers.set(HttpConstants.REQUEST_ID, request().value());
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (exchange.asked().body().length > 0) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, exchange.asked().body().length);
    }
  }

  private Publisher<Void> relayResponse(HttpClientResponse response, Connection connection) {
    Sinks.Empty<Void> relayed = Sinks.empty();
    Flux<ByteBuf> body =
        connection
            .inbound()
            .receive()
            .retain()
            .doOnComplete(() -> completed(relayed))
            .doOnError(relayed::tryEmitError)
            .doOnCancel(() -> onCancelled(relayed));
    submitEvent(new EntryEvent.ServiceAnswering(request(), attempt()));
    exchange.onResponse(
        new ServiceResponse(response.status().code(), response.responseHeaders().copy(), body));
    return relayed.asMono();
  }

  private void completed(Sinks.Empty<Void> relayed) {
    submitEvent(new EntryEvent.ServiceCompleted(request(), attempt()));
    relayed.tryEmitEmpty();
  }

  private void onCancelled(Sinks.Empty<Void> relayed) {
    broken();
    relayed.tryEmitEmpty();
  }
}
