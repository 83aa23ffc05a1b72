package org.teaseltrail.standin.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.Usage;

/** Frames of one response stream, kept so that readers can resume it at any frame. */
final class EngineStream {

  private final EngineRequest request;
  private final int tokensPerFrame;
  private final List<EngineFrame> frames = new ArrayList<>();
  private int framedTokens;
  private boolean ended;

  EngineStream(EngineRequest request, int tokensPerFrame) {
    this.request = request;
    this.tokensPerFrame = tokensPerFrame;
  }

  EngineRequest request() {
    return request;
  }

  RequestId requestId() {
    return request.id();
  }

  /**
   * Returns a new frame if enough tokens have been generated. The first frame has a single token,
   * so that the first token is sent without delay.
   */
  Optional<EngineFrame> tokens(int tokensSoFar) {
    int wanted = frames.isEmpty() ? 1 : tokensPerFrame;
    if (tokensSoFar - framedTokens < wanted) {
      return Optional.empty();
    }
    return Optional.of(frame(tokensSoFar));
  }

  /** Returns the last frames: the remaining tokens, if any, and the final frame with the usage. */
  List<EngineFrame> finish(Usage usage) {
    List<EngineFrame> last = new ArrayList<>();
    if (usage.outputTokens() > framedTokens) {
      last.add(frame(usage.outputTokens()));
    }
    last.add(
        append(new EngineFrame(requestId(), frames.size(), framedTokens, 0, Optional.of(usage))));
    ended = true;
    return last;
  }

  void abort() {
    ended = true;
  }

  boolean isEnded() {
    return ended;
  }

  List<EngineFrame> from(int sequence) {
    int first = Math.max(0, Math.min(sequence, frames.size()));
    return List.copyOf(frames.subList(first, frames.size()));
  }

  /** Returns a frame, or empty if it isn't generated yet. */
  Optional<EngineFrame> frameAt(int sequence) {
    return sequence < frames.size() ? Optional.of(frames.get(sequence)) : Optional.empty();
  }

  private EngineFrame frame(int tokensSoFar) {
    int tokens = tokensSoFar - framedTokens;
    EngineFrame frame =
        new EngineFrame(requestId(), frames.size(), framedTokens, tokens, Optional.empty());
    framedTokens = tokensSoFar;
    return append(frame);
  }

  private EngineFrame append(EngineFrame frame) {
    EngineInvariant.FRAMES_WITHOUT_GAP.check(!ended && frame.sequence() == frames.size());
    frames.add(frame);
    return frame;
  }
}
