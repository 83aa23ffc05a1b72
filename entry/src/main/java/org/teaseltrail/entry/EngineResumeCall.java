package org.teaseltrail.entry;

import org.teaseltrail.core.entry.EntryAction;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.id.RequestId;

/**
 * Requests the rest of a stream from an engine, which resends the frames that it has generated and
 * runs nothing again.
 */
final class EngineResumeCall implements UpstreamCall {

  private final NodeEventLoop loop;
  private final RequestId request;
  private final int attempt;
  private final EngineStreamSubscriber lines;
  private boolean closed;

  private EngineResumeCall(NodeEventLoop loop, CallerExchange exchange, int attempt) {
    this.loop = loop;
    this.request = exchange.request();
    this.attempt = attempt;
    this.lines = new EngineStreamSubscriber(loop, exchange, attempt, this::onStreamEnd);
  }

  static EngineResumeCall start(
      UpstreamCallFactory calls, CallerExchange exchange, EntryAction.Resume resume) {
    EngineResumeCall call = new EngineResumeCall(calls.loop(), exchange, resume.attempt());
    calls
        .client(resume.target())
        .get()
        .uri(EngineCall.STREAMS_PATH + "/" + resume.stream() + "?from=" + resume.fromSequence())
        .responseConnection(EngineStreamSubscriber::readLines)
        .subscribe(call.lines);
    return call;
  }

  private void onStreamEnd(EngineStreamOutcome answer) {
    EntryEvent event =
        answer == EngineStreamOutcome.UNKNOWN
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
