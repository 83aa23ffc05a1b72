package org.teaseltrail.entry;

import org.teaseltrail.core.entry.EntryAction;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.id.RequestId;

/**
 * Requests the rest of a stream from an engine, which resends the frames that it has generated and
 * runs nothing again.
 */
final class EngineResume implements UpstreamCall {

  private final NodeLoop loop;
  private final RequestId request;
  private final int attempt;
  private final EngineLines lines;
  private boolean closed;

  private EngineResume(NodeLoop loop, CallerExchange exchange, int attempt) {
    this.loop = loop;
    this.request = exchange.request();
    this.attempt = attempt;
    this.lines = new EngineLines(loop, exchange, attempt, this::onStreamEnd);
  }

  static EngineResume start(
      UpstreamCalls calls, CallerExchange exchange, EntryAction.Resume resume) {
    EngineResume call = new EngineResume(calls.loop(), exchange, resume.attempt());
    calls
        .client(resume.target())
        .get()
        .uri(EngineCall.STREAMS + "/" + resume.stream() + "?from=" + resume.fromSequence())
        .responseConnection(EngineLines::read)
        .subscribe(call.lines);
    return call;
  }

  private void onStreamEnd(EngineAnswer answer) {
    EntryEvent event =
        answer == EngineAnswer.UNKNOWN
            ? new EntryEvent.StreamUnknown(request, attempt)
            : new EntryEvent.StreamBroken(request, attempt);
    loop.run(() -> handleUnlessClosed(event));
  }

  private void handleUnlessClosed(EntryEvent event) {
    if (!closed) {
      loop.handle(event);
    }
  }

  @Override
  public void close() {
    closed = true;
    lines.close();
  }
}
