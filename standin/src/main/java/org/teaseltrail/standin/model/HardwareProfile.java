package org.teaseltrail.standin.model;

/**
 * Says how fast an engine is and how much it holds. A step takes {@code stepBaseMs}, plus {@code
 * stepPerSequenceMs} for each sequence that decodes, plus {@code prefillPerTokenMs} for each prompt
 * token processed in it.
 *
 * @param stepBaseMs time of an empty step, in milliseconds
 * @param stepPerSequenceMs time that each decoding sequence adds, in milliseconds
 * @param prefillPerTokenMs time that each prompt token adds, in milliseconds
 * @param maxBatch sequences that run at once
 * @param prefillChunkTokens most prompt tokens processed in one step
 * @param cacheTokens tokens that the prefix cache holds
 */
public record HardwareProfile(
    double stepBaseMs,
    double stepPerSequenceMs,
    double prefillPerTokenMs,
    int maxBatch,
    int prefillChunkTokens,
    long cacheTokens) {

  /** Tokens of one block of the prefix cache. */
  public static final int BLOCK_TOKENS = 256;

  private static final double NS_PER_MS = 1e6;

  /** Checks the figures. */
  public HardwareProfile {
    if (stepBaseMs <= 0 || stepPerSequenceMs < 0 || prefillPerTokenMs < 0) {
      throw new IllegalArgumentException("times must be positive");
    }
    if (maxBatch < 1 || prefillChunkTokens < 1 || cacheTokens < 0) {
      throw new IllegalArgumentException("sizes must be positive");
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
