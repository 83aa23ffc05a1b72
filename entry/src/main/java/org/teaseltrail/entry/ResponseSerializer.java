package org.teaseltrail.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.StreamFrame;

/** Serializes generation outcomes and server-sent events for callers. */
final class ResponseSerializer {

  private ResponseSerializer() {}

  static ObjectNode usage(Usage usage) {
    ObjectNode json = JsonCodec.createObject();
    json.put("prompt_tokens", usage.promptTokens());
    json.put("cached_tokens", usage.cachedTokens());
    json.put("output_tokens", usage.outputTokens());
    return json;
  }

  /** Returns the name of an outcome in responses and metrics. */
  static String name(Outcome outcome) {
    if (outcome instanceof Outcome.Completed) {
      return "completed";
    }
    return outcome instanceof Outcome.NotRun ? "not_run" : "may_have_run";
  }

  /** Returns the server-sent event for a token frame. */
  static byte[] tokenEvent(StreamFrame.Text frame) {
    ObjectNode json = JsonCodec.createObject();
    json.put("seq", frame.sequence());
    json.put("text", frame.text());
    return event("event: token\nid: " + frame.sequence() + "\ndata: ", json);
  }

  /** Returns the server-sent event for the outcome, which is the last event of a stream. */
  static byte[] outcomeEvent(RequestId request, Outcome outcome) {
    ObjectNode json = JsonCodec.createObject();
    json.put("request_id", request.value());
    json.put("outcome", name(outcome));
    json.put("ran", outcome.ran().text());
    if (outcome instanceof Outcome.Completed completed) {
      json.set("usage", usage(completed.usage()));
    } else {
      ProblemDetails problem = ProblemDetails.of(request, outcome);
      json.put("type", problem.type());
      if (problem.retryAfterMs() > 0) {
        json.put("retry_after_ms", problem.retryAfterMs());
      }
    }
    return event("event: outcome\ndata: ", json);
  }

  private static byte[] event(String head, ObjectNode json) {
    byte[] data = JsonCodec.bytes(json);
    byte[] prefix = head.getBytes(StandardCharsets.US_ASCII);
    byte[] event = new byte[prefix.length + data.length + 2];
    System.arraycopy(prefix, 0, event, 0, prefix.length);
    System.arraycopy(data, 0, event, prefix.length, data.length);
    event[event.length - 2] = '\n';
    event[event.length - 1] = '\n';
    return event;
  }
}
