package org.teaseltrail.core.request;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.invariant.Invariant;
import org.teaseltrail.core.invariant.InvariantName;

/**
 * Validates the frames of one answer: they must belong to the expected stream and be numbered
 * without gaps up to an end frame.
 *
 * <p>Late, duplicated, reordered or misdelivered frames would give the caller a text with parts
 * missing, repeated or taken from another answer. Only the next sequence number of the expected
 * stream is accepted, whichever connection it arrives on.
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

  /** Classifies a frame and advances the expected sequence number if it is the next one. */
  FrameDisposition accept(StreamFrame frame) {
    FrameDisposition verdict = classify(frame);
    if (verdict == FrameDisposition.NEXT) {
      Invariant.check(frame.sequence() == lastDelivered + 1, InvariantName.FRAMES_IN_ORDER);
      Invariant.check(frame.stream().equals(stream), InvariantName.FRAMES_IN_ORDER);
      lastDelivered = frame.sequence();
      nextSequence++;
      ended = frame instanceof StreamFrame.End;
    }
    return verdict;
  }

  private FrameDisposition classify(StreamFrame frame) {
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
