package org.teaseltrail.standin.model;

import java.util.List;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.RequestId;

/**
 * Is a request as an engine sees it.
 *
 * @param id the request
 * @param target the model, version and adapter
 * @param promptTokens length of the prompt, one or greater
 * @param prefixBlocks hash chain of the prompt's whole blocks, first block first
 * @param maxTokens most tokens of the answer, one or greater
 * @param answerSeed seed of the answer's text
 */
public record EngineRequest(
    RequestId id,
    ModelTarget target,
    int promptTokens,
    List<Long> prefixBlocks,
    int maxTokens,
    long answerSeed) {

  /** Copies the list and checks the figures. */
  public EngineRequest {
    prefixBlocks = List.copyOf(prefixBlocks);
    if (promptTokens < 1 || maxTokens < 1) {
      throw new IllegalArgumentException("a prompt and an answer have at least one token");
    }
    if (prefixBlocks.size() > promptTokens / HardwareProfile.BLOCK_TOKENS) {
      throw new IllegalArgumentException("more whole blocks than the prompt is long");
    }
  }
}
