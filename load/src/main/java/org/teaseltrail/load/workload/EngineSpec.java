package org.teaseltrail.load.workload;

import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Engine of a deployment's pool, with its timing model.
 *
 * @param id its id
 * @param dataCenter its data centre
 * @param stepMs duration of a step with an empty batch
 * @param stepPerSequenceMs time that each sequence in the batch adds to a step
 * @param prefillPerTokenMs time that each prompt token adds to the step that processes it
 * @param maxBatch maximum number of sequences in the batch
 * @param cacheTokens capacity of the prefix cache in tokens
 */
public record EngineSpec(
    UpstreamId id,
    DataCenterId dataCenter,
    double stepMs,
    double stepPerSequenceMs,
    double prefillPerTokenMs,
    int maxBatch,
    long cacheTokens) {

  /**
   * Returns the engine time of one request when the batch is full.
   *
   * @param prefillTokens number of prompt tokens that aren't cached
   * @param outputTokens number of tokens to generate
   */
  public double costMs(long prefillTokens, long outputTokens) {
    double decodeMs = stepMs / maxBatch + stepPerSequenceMs;
    return prefillTokens * prefillPerTokenMs + outputTokens * decodeMs;
  }
}
