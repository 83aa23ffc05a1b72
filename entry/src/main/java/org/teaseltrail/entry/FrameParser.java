package org.teaseltrail.entry;

import java.io.IOException;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.request.StreamFrame;

/** Parses the lines of an engine's stream. */
final class FrameParser {

  private FrameParser() {}

  /**
   * Parses a frame.
   *
   * @throws MalformedFrameException if the line isn't a valid frame
   */
  static StreamFrame parse(String line) {
    try {
      return frame(new JsonObjectReader(JsonCodec.readObject(line)));
    } catch (IOException | RefusedRequestException e) {
      throw new MalformedFrameException(e.getMessage());
    }
  }

  private static StreamFrame frame(JsonObjectReader fields) {
    RequestId stream = fields.id("request_id", RequestId::new);
    long sequence = fields.number("seq", 0, Long.MAX_VALUE);
    if (fields.flag("end", false)) {
      return new StreamFrame.End(stream, sequence, usage(fields.fields("usage")));
    }
    return fields.object().has("error")
        ? new StreamFrame.Failure(stream, sequence)
        : new StreamFrame.Text(stream, sequence, fields.text("text"));
  }

  private static Usage usage(JsonObjectReader fields) {
    return new Usage(
        tokens(fields, "prompt_tokens"),
        tokens(fields, "cached_tokens"),
        tokens(fields, "output_tokens"));
  }

  private static int tokens(JsonObjectReader fields, String name) {
    return (int) fields.number(name, 0, Integer.MAX_VALUE);
  }
}
