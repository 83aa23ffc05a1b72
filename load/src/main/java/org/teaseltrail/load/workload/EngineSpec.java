package org.teaseltrail.load.workload;

import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Is an engine of a deployment's pool.
 *
 * @param id its name
 * @param dataCenter where it stands
 * @param stepMs time of a step with an empty batch
 * @param stepPerSequenceMs time that each sequence in the batch adds to a step
 * @param prefillPerTokenMs time that each prompt token adds to the step that processes it
 * @param maxBatch sequences it runs at once
 * @param cacheTokens tokens that its prefix cache holds
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
   * Returns the engine's time that one request takes when the batch is full.
   *
   * @param prefillTokens prompt tokens that aren't cached
   * @param outputTokens tokens to generate
   */
  public double costMs(long prefillTokens, long outputTokens) {
    double decodeMs = stepMs / maxBatch + stepPerSequenceMs;
    return prefillTokens * prefillPerTokenMs + outputTokens * decodeMs;
  }
}
