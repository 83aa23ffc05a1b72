package org.teaseltrail.core.placement;

/**
 * Usual times of a service, and the estimate of what a request takes at one of its upstreams. VMs
 * and the leader use the same estimate. It serves to compare upstreams; the absolute figures are
 * approximate.
 *
 * @param eventMs usual time between two events of a stream, in milliseconds; 0 if unknown, which
 *     makes all estimates 0
 * @param meanPromptTokens mean length of the service's prompts, in tokens
 * @param readingScale measured time to a first event relative to the estimate without it, 1 if
 *     unknown
 */
public record ServiceTimes(double eventMs, double meanPromptTokens, double readingScale) {

  /**
   * Length that is assumed for prompts of unknown length, in tokens; reading it takes as long as
   * one event.
   */
  public static final double TYPICAL_PROMPT_TOKENS = 2_000;

  /**
   * Prompt tokens that are read in the time of one event: engines read prompts in chunks of this
   * length, and a chunk takes about as long as the steps of one event.
   */
  private static final double TOKENS_READ_PER_EVENT = 2_000;

  /**
   * Maximum number of chunks that are read between two events: one in each step, and an event holds
   * about eight tokens.
   */
  private static final double MAX_CHUNKS_BETWEEN_EVENTS = 8;

  /**
   * Creates the times of a service whose prompts haven't been observed.
   *
   * @param eventMs usual time between two events of a stream, in milliseconds; 0 if unknown
   * @return the times
   */
  public static ServiceTimes ofEventLatency(double eventMs) {
    return new ServiceTimes(eventMs, TYPICAL_PROMPT_TOKENS, 1);
  }

  /**
   * Returns the expected time to the first event of a request. A full upstream counts as taking
   * twice as long: its steps process more requests, and prompts may be unread there that the caller
   * of this method doesn't know of.
   *
   * @param workload what the request meets there
   * @param promptTokens length of its prompt, in tokens
   * @return milliseconds from the dispatch
   */
  public double expectedFirstEventMs(UpstreamWorkload workload, double promptTokens) {
    double chunks = chunks(workload, promptTokens);
    return readingScale
        * workload.slowness()
        * (1 + workload.utilization())
        * eventMs
        * (1 + chunks);
  }

  /**
   * Returns the expected longest pause between two events of the streams there while the request's
   * prompt and those ahead of it are read.
   *
   * @param workload what the request meets there
   * @param promptTokens length of its prompt, in tokens
   * @return milliseconds
   */
  public double expectedPauseMs(UpstreamWorkload workload, double promptTokens) {
    double chunks = Math.min(MAX_CHUNKS_BETWEEN_EVENTS, chunks(workload, promptTokens));
    return workload.slowness() * eventMs * (1 + chunks);
  }

  private double chunks(UpstreamWorkload workload, double promptTokens) {
    double aheadTokens = workload.unreadPrompts() * meanPromptTokens;
    return (promptTokens + aheadTokens) / TOKENS_READ_PER_EVENT;
  }
}
