package org.teaseltrail.standin;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.standin.model.AnswerTextGenerator;
import org.teaseltrail.standin.model.EngineFrame;

/** Formats an engine's frames as newline-delimited JSON. */
final class StreamLineFormatter {

  private StreamLineFormatter() {}

  static String formatFrame(EngineFrame frame, long answerSeed) {
    Object line =
        frame
            .usage()
            .<Object>map(usage -> new EndLine(frame.request(), frame.sequence(), true, usage))
            .orElseGet(() -> textLine(frame, answerSeed));
    return UpstreamJson.write(line) + "\n";
  }

  static String failure(RequestId request, int sequence) {
    return UpstreamJson.write(new ErrorLine(request, sequence, "stopped")) + "\n";
  }

  private static TextLine textLine(EngineFrame frame, long answerSeed) {
    String text = AnswerTextGenerator.text(answerSeed, frame.firstToken(), frame.tokens());
    return new TextLine(frame.request(), frame.sequence(), text);
  }

  private record TextLine(RequestId requestId, int seq, String text) {}

  private record EndLine(RequestId requestId, int seq, boolean end, Usage usage) {}

  private record ErrorLine(RequestId requestId, int seq, String error) {}
}
