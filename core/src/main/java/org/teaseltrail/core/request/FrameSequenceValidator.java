package org.teaseltrail.core.request;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * Checks the frames of one answer: own request only, numbered without gaps, up to an end mark.
 *
 * <p>Guards against late, doubled, reordered and mixed-up frames, which show as a caller's text
 * with parts missing, doubled or another's. Only the one expected number of the one expected stream
 * passes, whatever connection it comes over.
 */
final class FrameSequenceValidator {

  private final RequestId stream;
  private long nextSequence;
  private long lastDelivered;
  private boolean ended;

  FrameSequenceValidator(RequestId stream, long firstSequence) {
    this.stream = stream;
    this.nextSequence = firstSequence;
    this.lastDelivered = firstSequence - 1;
  }

  /** Judges a frame and moves on if it is the next one. */
  FrameDisposition accept(StreamFrame frame) {
    FrameDisposition verdict = judge(frame);
    if (verdict == FrameDisposition.NEXT) {
      Invariant.check(frame.sequence() == lastDelivered + 1, InvariantName.FRAMES_IN_ORDER);
      Invariant.check(frame.stream().equals(stream), InvariantName.FRAMES_IN_ORDER);
      lastDelivered = frame.sequence();
      nextSequence++;
      ended = frame instanceof StreamFrame.End;
    }
    return verdict;
  }

  private FrameDisposition judge(StreamFrame frame) {
    if (!frame.stream().equals(stream)) {
      return FrameDisposition.FOREIGN;
    }
    if (ended || frame.sequence() < nextSequence) {
      return FrameDisposition.DUPLICATE;
    }
    return frame.sequence() > nextSequence ? FrameDisposition.GAP : FrameDisposition.NEXT;
  }

  RequestId stream() {
    return stream;
  }

  long nextSequence() {
    return nextSequence;
  }

  boolean hasEnded() {
    return ended;
  }
}
