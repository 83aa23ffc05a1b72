package org.teaseltrail.standin.model;

import java.util.List;
import org.teaseltrail.core.upstream.ServedModel;

/**
 * Configuration of an engine model.
 *
 * @param identity the engine's identity
 * @param hardware its speed and capacity
 * @param reporting timing and loss of its reports
 * @param models models loaded at the start
 * @param answerLength rule for the length of answers
 * @param tokensPerFrame tokens in each frame after the first, which has one
 * @param honoursFencing whether it refuses an order with an outdated fencing number
 * @param resumeRetentionMs time for which an ended stream can be resumed, in milliseconds
 * @param modelLoadMs time to load a model's weights, in milliseconds
 * @param maxQueuedRequests maximum number of requests that wait for the batch; more are refused
 * @param stragglerFactor multiplier of the step times of the hardware profile
 * @param seed seed of the random generators
 */
public record EngineSettings(
    UpstreamIdentity identity,
    HardwareProfile hardware,
    ReportingProfile reporting,
    List<ServedModel> models,
    AnswerLength answerLength,
    int tokensPerFrame,
    boolean honoursFencing,
    long resumeRetentionMs,
    long modelLoadMs,
    int maxQueuedRequests,
    double stragglerFactor,
    long seed) {

  /** Time for which an ended stream can be resumed, in milliseconds (docs/INTERNALS.md). */
  public static final long RESUME_RETENTION_MS = 60_000;

  private static final long DEFAULT_MODEL_LOAD_MS = 5_000;
  private static final int DEFAULT_MAX_QUEUED_REQUESTS = 100_000;

  /** Copies the list and validates the values. */
  public EngineSettings {
    models = List.copyOf(models);
    if (tokensPerFrame < 1 || stragglerFactor <= 0 || maxQueuedRequests < 0) {
      throw new IllegalArgumentException(
          "tokensPerFrame and stragglerFactor must be positive, maxQueuedRequests not negative");
    }
  }

  /**
   * Returns the configuration of a healthy engine with default values.
   *
   * @param identity the engine's identity
   * @param hardware its speed and capacity
   * @param models models loaded at the start
   * @param seed seed of the random generators
   * @return the settings
   */
  public static EngineSettings standard(
      UpstreamIdentity identity, HardwareProfile hardware, List<ServedModel> models, long seed) {
    return new EngineSettings(
        identity,
        hardware,
        ReportingProfile.standard(),
        models,
        AnswerLength.EXACT,
        1,
        true,
        RESUME_RETENTION_MS,
        DEFAULT_MODEL_LOAD_MS,
        DEFAULT_MAX_QUEUED_REQUESTS,
        1,
        seed);
  }
}
