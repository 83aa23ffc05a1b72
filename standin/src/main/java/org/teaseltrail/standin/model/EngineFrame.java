package org.teaseltrail.standin.model;

import java.util.Optional;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.Usage;

/**
 * One frame of an engine's response stream.
 *
 * @param request the request that the stream answers
 * @param sequence its number in the stream, from zero without gaps
 * @param firstToken index of its first token in the answer
 * @param tokens number of tokens; zero in the final frame
 * @param usage token counts of the request, present only in the final frame
 */
public record EngineFrame(
    RequestId request, int sequence, int firstToken, int tokens, Optional<Usage> usage) {

  /** Returns whether this is the final frame of a complete answer. */
  public boolean isEnd() {
    return usage.isPresent();
  }
}
