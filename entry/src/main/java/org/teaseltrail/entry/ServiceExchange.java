package org.teaseltrail.entry;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.atomic.AtomicReference;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.StreamFrame;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerResponse;

/**
 * An exchange that forwards a plain service's response unchanged; the flow control of the two
 * connections bounds the memory in use.
 */
final class ServiceExchange implements CallerExchange {

  private final RequestId request;
  private final ServiceRequest asked;
  private final Sinks.One<Publisher<Void>> responseWriter = Sinks.one();
  private final AtomicReference<ServiceResponse> unforwardedResponse = new AtomicReference<>();
  private final HttpServerResponse response;
  private volatile boolean abandoned;

  ServiceExchange(RequestId request, ServiceRequest asked, HttpServerResponse response) {
    this.request = request;
    this.asked = asked;
    this.response = response;
  }

  @Override
  public RequestId request() {
    return request;
  }

  ServiceRequest asked() {
    return asked;
  }

  @Override
  public Publisher<Void> respond(HttpServerResponse sameResponse) {
    return ConnectionScheduler.publishOnEventLoop(response, responseWriter.asMono())
        .flatMap(Mono::from);
  }

  @Override
  public DispatchCall createCall(UpstreamCallFactory calls, int attempt, RouteTarget target) {
    return calls.service(this, attempt);
  }

  /**
   * Accepts the service's response. Runs on the event loop of the upstream connection, before the
   * node handles the event.
   */
  void onResponse(ServiceResponse service) {
    unforwardedResponse.set(service);
    responseWriter.tryEmitValue(Mono.defer(() -> Mono.from(forward(service))));
    if (abandoned) {
      drain();
    }
  }

  /**
   * Reads a response without a caller to its end and discards it, so that the call counts as
   * completed.
   */
  private void drain() {
    ServiceResponse unconsumed = unforwardedResponse.getAndSet(null);
    if (unconsumed != null) {
      unconsumed.body().subscribe(ByteBuf::release, failure -> {});
    }
  }

  private Publisher<Void> forward(ServiceResponse service) {
    if (unforwardedResponse.getAndSet(null) == null) {
      return Mono.empty();
    }
    response.status(service.httpStatus());
    ForwardedHeaderFilter.copyForwarded(service.headers(), response::addHeader);
    response.header(HttpConstants.REQUEST_ID, request.value());
    return response.send(service.body());
  }

  @Override
  public void deliver(StreamFrame.Text frame) {
    throw new IllegalStateException("a plain service has no token frames");
  }

  @Override
  public void conclude(Outcome outcome) {
    if (!(outcome instanceof Outcome.Completed)) {
      responseWriter.tryEmitValue(
          Mono.defer(() -> Mono.from(ProblemDetails.of(request, outcome).send(response))));
    }
  }

  @Override
  public void abandon() {
    abandoned = true;
    drain();
    responseWriter.tryEmitEmpty();
  }

  @Override
  public boolean isBufferFull(Runnable onCapacity) {
    return false;
  }
}
