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

/** Gives a plain service's answer back as it is; the connections' own flow control bounds it. */
final class ServiceExchange implements CallerExchange {

  private final RequestId request;
  private final ServiceRequest asked;
  private final Sinks.One<Publisher<Void>> answer = Sinks.one();
  private final AtomicReference<ServiceAnswer> answered = new AtomicReference<>();
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
    return ConnectionThread.of(response, answer.asMono()).flatMap(Mono::from);
  }

  @Override
  public DispatchCall call(UpstreamCalls calls, int attempt, RouteTarget target) {
    return calls.service(this, attempt);
  }

  /** Takes the service's answer; on the connection's thread, before the node is told. */
  void answer(ServiceAnswer service) {
    answered.set(service);
    answer.tryEmitValue(Mono.defer(() -> Mono.from(forward(service))));
    if (abandoned) {
      drain();
    }
  }

  /** Reads an answer that no one takes to its end, so that the call counts as completed. */
  private void drain() {
    ServiceAnswer left = answered.getAndSet(null);
    if (left != null) {
      left.body().subscribe(ByteBuf::release, failure -> {});
    }
  }

  private Publisher<Void> forward(ServiceAnswer service) {
    if (answered.getAndSet(null) == null) {
      return Mono.empty();
    }
    response.status(service.httpStatus());
    ForwardedHeaders.copy(service.headers(), response::addHeader);
    response.header(HttpNames.REQUEST_ID, request.value());
    return response.send(service.body());
  }

  @Override
  public void deliver(StreamFrame.Text frame) {
    throw new IllegalStateException("a plain service has no frames");
  }

  @Override
  public void conclude(Outcome outcome) {
    if (!(outcome instanceof Outcome.Completed)) {
      answer.tryEmitValue(Mono.defer(() -> Mono.from(Problem.of(request, outcome).send(response))));
    }
  }

  @Override
  public void abandon() {
    abandoned = true;
    drain();
    answer.tryEmitEmpty();
  }

  @Override
  public boolean isFull(Runnable whenRoom) {
    return false;
  }
}
