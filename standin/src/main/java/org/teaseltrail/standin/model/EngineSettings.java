package org.teaseltrail.standin.model;

import java.util.List;
import org.teaseltrail.core.upstream.ServedModel;

/**
 * Sets up an engine model.
 *
 * @param identity who it is
 * @param hardware how fast it is
 * @param reporting how it tells of itself
 * @param models what it has loaded at the start
 * @param answerLength how long answers are
 * @param tokensPerFrame tokens in each frame after the first, which has one
 * @param honoursFencing whether it refuses an order with an old fencing number
 * @param resumeRetentionMs how long an ended stream can be read again, in milliseconds
 * @param modelLoadMs time to load a model's weights, in milliseconds
 * @param maxQueuedRequests requests that may wait for the batch; one more is refused
 * @param stragglerFactor how many times longer steps take than the hardware says
 * @param seed of all that is random
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

  /** Time that docs/INTERNALS.md gives for reading an ended stream again, in milliseconds. */
  public static final long RESUME_RETENTION_MS = 60_000;

  private static final long DEFAULT_MODEL_LOAD_MS = 5_000;
  private static final int DEFAULT_MAX_QUEUED_REQUESTS = 100_000;

  /** Copies the list and checks the figures. */
  public EngineSettings {
    models = List.copyOf(models);
    if (tokensPerFrame < 1 || stragglerFactor <= 0 || maxQueuedRequests < 0) {
      throw new IllegalArgumentException("figures must be positive");
    }
  }

  /**
   * Sets up a healthy engine with usual figures.
   *
   * @param identity who it is
   * @param hardware how fast it is
   * @param models what it has loaded
   * @param seed of all that is random
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
