package org.teaseltrail.session;

import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.StreamFrame;

/** Connection on which an entry VM reads one response stream from an engine. */
final class EngineStreamReader {

  private final EntryProcess entry;
  private final RequestId request;
  private final int attempt;
  private final RequestId stream;
  private final Pipe pipe;
  private int nextFrame;
  private boolean open = true;
  private StreamFrame delayedFrame;
  private FrameFault nextFault = FrameFault.NONE;

  /** Faults that can be injected into the next frame of a stream. */
  enum FrameFault {
    NONE,
    /** The frame arrives after the one that follows it. */
    SWAP,
    /** The frame arrives twice. */
    DOUBLE,
    /** A frame of another request arrives before it. */
    FOREIGN
  }

  EngineStreamReader(
      EngineProcess engine,
      EntryProcess entry,
      RequestId request,
      int attempt,
      RequestId stream,
      int nextFrame) {
    this.entry = entry;
    this.request = request;
    this.attempt = attempt;
    this.stream = stream;
    this.nextFrame = nextFrame;
    this.pipe = new Pipe(engine, entry);
  }

  RequestId request() {
    return request;
  }

  RequestId stream() {
    return stream;
  }

  int nextFrame() {
    return nextFrame;
  }

  boolean isOpen() {
    return open;
  }

  void injectFault(FrameFault fault) {
    nextFault = fault;
  }

  void close() {
    open = false;
  }

  void frame(StreamFrame frame) {
    nextFrame++;
    if (nextFault == FrameFault.SWAP) {
      nextFault = FrameFault.NONE;
      delayedFrame = frame;
      return;
    }
    if (nextFault == FrameFault.FOREIGN) {
      sendToEntry(new EntryEvent.FrameReceived(request, attempt, foreignFrame(frame)));
    } else if (nextFault == FrameFault.DOUBLE) {
      sendToEntry(new EntryEvent.FrameReceived(request, attempt, frame));
    }
    nextFault = FrameFault.NONE;
    sendToEntry(new EntryEvent.FrameReceived(request, attempt, frame));
    if (delayedFrame != null) {
      StreamFrame late = delayedFrame;
      delayedFrame = null;
      sendToEntry(new EntryEvent.FrameReceived(request, attempt, late));
    }
    if (frame instanceof StreamFrame.End) {
      broken();
    }
  }

  void broken() {
    if (open) {
      sendToEntry(new EntryEvent.StreamBroken(request, attempt));
      open = false;
    }
  }

  void unknown() {
    sendToEntry(new EntryEvent.StreamUnknown(request, attempt));
    open = false;
  }

  void refused() {
    sendToEntry(new EntryEvent.UpstreamRefused(request, attempt));
    open = false;
  }

  void onDuplicateRequest() {
    sendToEntry(new EntryEvent.UpstreamFailed(request, attempt, FailureReason.UPSTREAM_PROTOCOL));
    open = false;
  }

  private void sendToEntry(EntryEvent event) {
    pipe.send(() -> entry.handle(event));
  }

  private static StreamFrame foreignFrame(StreamFrame frame) {
    return new StreamFrame.Text(new RequestId("foreign"), frame.sequence(), "not yours");
  }
}
