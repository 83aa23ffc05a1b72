package org.teaseltrail.core.request;

/** Estimates token counts from text sizes: four bytes of UTF-8 count as one token, rounded up. */
public final class TokenEstimator {

  /** Bytes of UTF-8 that count as one token, as specified in docs/INTERNALS.md. */
  public static final int BYTES_PER_TOKEN = 4;

  private TokenEstimator() {}

  /**
   * Estimates the number of tokens of a text.
   *
   * @param sizeBytes size of the text in UTF-8, in bytes
   * @return the number of tokens
   */
  public static int estimateTokens(int sizeBytes) {
    return (int) (((long) sizeBytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
  }
}
