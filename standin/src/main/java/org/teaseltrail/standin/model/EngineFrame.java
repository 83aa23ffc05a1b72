package org.teaseltrail.standin.model;

import java.util.Optional;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.Usage;

/**
 * Is one frame of a stream.
 *
 * @param request whose answer it is part of
 * @param sequence its number, counting from zero without gaps
 * @param firstToken index of its first token in the answer
 * @param tokens how many tokens it carries; none in the last frame
 * @param usage the work done, present in the last frame and only there
 */
public record EngineFrame(
    RequestId request, int sequence, int firstToken, int tokens, Optional<Usage> usage) {

  /** Returns whether it is the last frame of a whole answer. */
  public boolean isEnd() {
    return usage.isPresent();
  }
}
