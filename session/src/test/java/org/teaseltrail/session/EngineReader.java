package org.teaseltrail.session;

import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.StreamFrame;

/** Is one connection on which an entry VM reads a stream from an engine. */
final class EngineReader {

  private final EntryProcess entry;
  private final RequestId request;
  private final int attempt;
  private final RequestId stream;
  private final Pipe pipe;
  private int nextFrame;
  private boolean open = true;
  private StreamFrame heldBack;
  private Mischief mischief = Mischief.NONE;

  /** Says what goes wrong with the next frame. */
  enum Mischief {
    NONE,
    SWAP,
    DOUBLE,
    FOREIGN
  }

  EngineReader(
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

  void disturb(Mischief next) {
    mischief = next;
  }

  void close() {
    open = false;
  }

  void frame(StreamFrame frame) {
    nextFrame++;
    if (mischief == Mischief.SWAP) {
      mischief = Mischief.NONE;
      heldBack = frame;
      return;
    }
    if (mischief == Mischief.FOREIGN) {
      tell(new EntryEvent.FrameReceived(request, attempt, foreign(frame)));
    } else if (mischief == Mischief.DOUBLE) {
      tell(new EntryEvent.FrameReceived(request, attempt, frame));
    }
    mischief = Mischief.NONE;
    tell(new EntryEvent.FrameReceived(request, attempt, frame));
    if (heldBack != null) {
      StreamFrame late = heldBack;
      heldBack = null;
      tell(new EntryEvent.FrameReceived(request, attempt, late));
    }
    if (frame instanceof StreamFrame.End) {
      broken();
    }
  }

  void broken() {
    if (open) {
      tell(new EntryEvent.StreamBroken(request, attempt));
      open = false;
    }
  }

  void unknown() {
    tell(new EntryEvent.StreamUnknown(request, attempt));
    open = false;
  }

  void refused() {
    tell(new EntryEvent.UpstreamRefused(request, attempt));
    open = false;
  }

  void alreadyKnown() {
    tell(new EntryEvent.UpstreamFailed(request, attempt, FailureReason.UPSTREAM_PROTOCOL));
    open = false;
  }

  private void tell(EntryEvent event) {
    pipe.send(() -> entry.handle(event));
  }

  private static StreamFrame foreign(StreamFrame frame) {
    return new StreamFrame.Text(new RequestId("foreign"), frame.sequence(), "not yours");
  }
}
