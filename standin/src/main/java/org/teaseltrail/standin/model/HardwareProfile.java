package org.teaseltrail.standin.model;

/**
 * Speed and capacity of an engine's hardware. A step takes {@code stepBaseMs}, plus {@code
 * stepPerSequenceMs} for each decoding sequence, plus {@code prefillPerTokenMs} for each prompt
 * token that it processes.
 *
 * @param stepBaseMs time of an empty step, in milliseconds
 * @param stepPerSequenceMs time that each decoding sequence adds, in milliseconds
 * @param prefillPerTokenMs time that each prompt token adds, in milliseconds
 * @param maxBatch maximum number of concurrent sequences
 * @param prefillChunkTokens maximum number of prompt tokens processed in one step
 * @param cacheTokens capacity of the prefix cache, in tokens
 */
public record HardwareProfile(
    double stepBaseMs,
    double stepPerSequenceMs,
    double prefillPerTokenMs,
    int maxBatch,
    int prefillChunkTokens,
    long cacheTokens) {

  /** Tokens per block of the prefix cache. */
  public static final int BLOCK_TOKENS = 256;

  private static final double NS_PER_MS = 1e6;

  /** Validates the values. */
  public HardwareProfile {
    if (stepBaseMs <= 0 || stepPerSequenceMs < 0 || prefillPerTokenMs < 0) {
      throw new IllegalArgumentException(
          "stepBaseMs must be positive, stepPerSequenceMs and prefillPerTokenMs not negative");
    }
    if (maxBatch < 1 || prefillChunkTokens < 1 || cacheTokens < 0) {
      throw new IllegalArgumentException(
          "maxBatch and prefillChunkTokens must be positive, cacheTokens not negative");
    }
  }

  int cacheBlocks() {
    return Math.toIntExact(cacheTokens / BLOCK_TOKENS);
  }

  long stepNs(int decodingSequences, int prefillTokens, double stragglerFactor) {
    double ms =
        stepBaseMs + stepPerSequenceMs * decodingSequences + prefillPerTokenMs * prefillTokens;
    return Math.max(1, Math.round(ms * stragglerFactor * NS_PER_MS));
  }
}
