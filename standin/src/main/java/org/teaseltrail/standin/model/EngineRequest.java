package org.teaseltrail.standin.model;

import java.util.List;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.RequestId;

/**
 * Request as an engine receives it.
 *
 * @param id the request id
 * @param target the model, version and adapter
 * @param promptTokens length of the prompt, one or greater
 * @param prefixBlocks hash chain of the prompt's complete blocks, first block first
 * @param maxTokens maximum number of tokens of the answer, one or greater
 * @param answerSeed seed of the answer's text
 */
public record EngineRequest(
    RequestId id,
    ModelTarget target,
    int promptTokens,
    List<Long> prefixBlocks,
    int maxTokens,
    long answerSeed) {

  /** Copies the list and validates the values. */
  public EngineRequest {
    prefixBlocks = List.copyOf(prefixBlocks);
    if (promptTokens < 1 || maxTokens < 1) {
      throw new IllegalArgumentException("promptTokens and maxTokens must be at least 1");
    }
    if (prefixBlocks.size() > promptTokens / HardwareProfile.BLOCK_TOKENS) {
      throw new IllegalArgumentException("prefixBlocks has more blocks than promptTokens can fill");
    }
  }
}
