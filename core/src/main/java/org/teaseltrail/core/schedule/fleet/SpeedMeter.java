package org.teaseltrail.core.schedule.fleet;

/** Measures the speed of one incarnation of an upstream, from its answers and load reports. */
final class SpeedMeter {

  /** Weight of the newest time per token in its moving average: a few samples show a change. */
  private static final double TOKEN_GAIN = 0.25;

  private static final double PREFILL_GAIN = 0.2;

  /** Minimum number of prompt tokens for a prefill sample; below it, network delay dominates. */
  private static final double MIN_PREFILL_TOKENS = 512;

  private static final double US_PER_MS = 1_000;

  private final StepTimeModel steps = new StepTimeModel();
  private double decodeMs;
  private int decodeSamples;
  private double prefillUs;
  private int prefillSamples;
  private double serviceTimeMs;

  /**
   * Records a time per token that was measured on an answer.
   *
   * @param batch the number of requests on the upstream
   * @param tokenMs time per token, in milliseconds
   * @param noLongPrefill whether no long prompt was processed meanwhile, so that the time reflects
   *     the engine and not its load
   */
  void token(double batch, double tokenMs, boolean noLongPrefill) {
    steps.addSample(batch, tokenMs);
    if (noLongPrefill) {
      decodeMs = decodeSamples == 0 ? tokenMs : decodeMs + TOKEN_GAIN * (tokenMs - decodeMs);
      decodeSamples++;
    }
  }

  /** Records the step time that the upstream reports. */
  void recordReport(double batch, double stepMs) {
    if (batch > 0 && stepMs > 0) {
      steps.addSample(batch, stepMs);
    }
  }

  /** Records the time to the first token, before which this many prompt tokens were processed. */
  void prefill(double tokens, double sampleMs) {
    if (tokens >= MIN_PREFILL_TOKENS) {
      double sampleUs = sampleMs * US_PER_MS / tokens;
      prefillUs = prefillUs == 0 ? sampleUs : prefillUs + PREFILL_GAIN * (sampleUs - prefillUs);
      prefillSamples++;
    }
  }

  /** Records the service time of a request, from its dispatch to its end. */
  void recordServiceTime(double sampleMs) {
    serviceTimeMs =
        serviceTimeMs == 0 ? sampleMs : serviceTimeMs + PREFILL_GAIN * (sampleMs - serviceTimeMs);
  }

  int decodeSamples() {
    return decodeSamples;
  }

  int prefillSamples() {
    return prefillSamples;
  }

  /**
   * Returns the time per token while no long prompt is processed, in milliseconds; zero before the
   * first sample.
   */
  double decodeMs() {
    return decodeMs;
  }

  /** Returns the step time at a batch size, in milliseconds; zero before the first sample. */
  double stepMs(double batch) {
    return steps.isEmpty() ? 0 : steps.stepMs(batch);
  }

  /** Returns the time to process a prompt token, in microseconds; zero before the first sample. */
  double prefillUs() {
    return prefillUs;
  }

  /** Returns the average service time, in milliseconds; zero before the first sample. */
  double serviceTimeMs() {
    return serviceTimeMs;
  }
}
