package org.teaseltrail.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.StreamFrame;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerResponse;

/** An exchange that buffers the response and returns it as one JSON document. */
final class BufferedExchange extends GenerationExchange {

  private final NodeEventLoop loop;
  private final int maxAnswerBytes;
  private final StringBuilder text = new StringBuilder();
  private final Sinks.One<Outcome> outcome = Sinks.one();

  BufferedExchange(
      RequestId request, GenerateRequest body, NodeEventLoop loop, int maxAnswerBytes) {
    super(request, body);
    this.loop = loop;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  @Override
  public Publisher<Void> respond(HttpServerResponse response) {
    return ConnectionScheduler.publishOnEventLoop(response, outcome.asMono())
        .flatMap(end -> Mono.from(writeResponse(response, end)));
  }

  private Publisher<Void> writeResponse(HttpServerResponse response, Outcome end) {
    if (!(end instanceof Outcome.Completed completed)) {
      return ProblemDetails.of(request(), end).send(response);
    }
    ObjectNode json = JsonCodec.createObject();
    json.put("request_id", request().value());
    json.put("text", text.toString());
    json.set("usage", ResponseSerializer.usage(completed.usage()));
    json.put("outcome", "completed");
    byte[] body = JsonCodec.bytes(json);
    response.header(HttpHeaderNames.CONTENT_TYPE, HttpConstants.JSON);
    response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
    response.header(HttpConstants.REQUEST_ID, request().value());
    return response.sendObject(Unpooled.wrappedBuffer(body));
  }

  @Override
  public void deliver(StreamFrame.Text frame) {
    if (text.length() + frame.text().length() > maxAnswerBytes) {
      loop.submit(new EntryEvent.AnswerTooLarge(request()));
      return;
    }
    text.append(frame.text());
  }

  @Override
  public void conclude(Outcome end) {
    outcome.tryEmitValue(end);
  }

  @Override
  public void abandon() {
    text.setLength(0);
  }

  @Override
  public boolean isBufferFull(Runnable onCapacity) {
    return false;
  }
}
