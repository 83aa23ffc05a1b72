package org.teaseltrail.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.control.EngineOrder;
import org.teaseltrail.core.control.OrderOutcome;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.wire.http.AnswerDecoder;
import org.teaseltrail.wire.http.EmbeddedStatusLine;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * HTTP client that sends orders to engines with at-most-once delivery: an order that may have
 * arrived is never retried.
 */
final class EngineOrderClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int ACCEPTED = 202;
  private static final int CONFLICT = 409;

  /**
   * Uses a new connection for each order: on one that is used again, a late second answer to an
   * order would be taken for that to the next, which may have been refused.
   */
  private final HttpClient client =
      HttpClient.create(ConnectionProvider.newConnection())
          .disableRetry(true)
          .followRedirect(false)
          .doOnChannelInit(
              (observer, channel, address) ->
                  AnswerDecoder.replaceCodecOf(channel.pipeline(), new HttpDecoderConfig()));

  private final ObjectMapper mapper = new ObjectMapper();
  private final Consumer<ControlEvent> events;

  EngineOrderClient(Consumer<ControlEvent> events) {
    this.events = events;
  }

  void send(EngineOrder order) {
    SocketAddress address = order.address();
    client
        .headers(headers -> headers.set("Content-Type", "application/json"))
        .post()
        .uri("http://" + address.host() + ":" + address.port() + "/v1/orders")
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body(order))))
        .response()
        .timeout(TIMEOUT)
        .map(EngineOrderClient::outcome)
        .onErrorReturn(OrderOutcome.UNREACHABLE)
        .subscribe(outcome -> events.accept(new ControlEvent.OrderAnswered(order, outcome)));
  }

  private static OrderOutcome outcome(HttpClientResponse response) {
    HttpResponseStatus status = response.status();
    if (EmbeddedStatusLine.isIn(status.reasonPhrase(), response.responseHeaders())) {
      // An answer that broke off in its head, joined with another one: neither can be told.
      return OrderOutcome.UNREACHABLE;
    }
    if (status.code() == ACCEPTED) {
      return OrderOutcome.ACCEPTED;
    }
    if (status.codeClass() == HttpStatusClass.INFORMATIONAL) {
      // Nothing is decided yet: the engine may accept the order after it.
      return OrderOutcome.UNREACHABLE;
    }
    return status.code() == CONFLICT ? OrderOutcome.REFUSED_OLD_FENCING : OrderOutcome.REFUSED;
  }

  private byte[] body(EngineOrder order) {
    try {
      return mapper.writeValueAsString(EngineOrderBody.of(order)).getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to encode an engine order as JSON", e);
    }
  }
}
