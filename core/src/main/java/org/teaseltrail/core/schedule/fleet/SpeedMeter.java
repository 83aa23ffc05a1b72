package org.teaseltrail.core.schedule.fleet;

/** Measures how fast one life of an upstream works, from its answers and its reports. */
final class SpeedMeter {

  /** Weight of the newest sample of a token's time: a few samples show a change. */
  private static final double TOKEN_GAIN = 0.25;

  private static final double PREFILL_GAIN = 0.2;

  /** Fewest tokens processed from which a prefill speed is read; below, the network shows. */
  private static final double MIN_PREFILL_TOKENS = 512;

  private static final double US_PER_MS = 1_000;

  private final StepTimeModel steps = new StepTimeModel();
  private double decodeMs;
  private int decodeSamples;
  private double prefillUs;
  private int prefillSamples;
  private double serviceTimeMs;

  /**
   * Takes the time per token that was seen in an answer.
   *
   * @param batch requests on the upstream
   * @param tokenMs time per token, in milliseconds
   * @param quiet whether no long prompt was processed meanwhile, so that the time is the engine's
   *     own and not that of its load
   */
  void token(double batch, double tokenMs, boolean quiet) {
    steps.addSample(batch, tokenMs);
    if (quiet) {
      decodeMs = decodeSamples == 0 ? tokenMs : decodeMs + TOKEN_GAIN * (tokenMs - decodeMs);
      decodeSamples++;
    }
  }

  /** Takes the step time that the upstream reports. */
  void recordReport(double batch, double stepMs) {
    if (batch > 0 && stepMs > 0) {
      steps.addSample(batch, stepMs);
    }
  }

  /** Takes the time to a first token after so many prompt tokens were processed. */
  void prefill(double tokens, double sampleMs) {
    if (tokens >= MIN_PREFILL_TOKENS) {
      double sampleUs = sampleMs * US_PER_MS / tokens;
      prefillUs = prefillUs == 0 ? sampleUs : prefillUs + PREFILL_GAIN * (sampleUs - prefillUs);
      prefillSamples++;
    }
  }

  /** Takes the time from a dispatch to the end. */
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

  /** Returns the time per token while no long prompt is processed; zero before the first sample. */
  double decodeMs() {
    return decodeMs;
  }

  /** Returns the time of a step at a batch, in milliseconds; zero before the first sample. */
  double stepMs(double batch) {
    return steps.isEmpty() ? 0 : steps.stepMs(batch);
  }

  /** Returns the time to process a prompt token, in microseconds; zero before the first sample. */
  double prefillUs() {
    return prefillUs;
  }

  /** Returns the usual time from a dispatch to the end, in milliseconds. */
  double serviceTimeMs() {
    return serviceTimeMs;
  }
}
