package org.teaseltrail.core.request;

/** Estimates tokens from bytes: four bytes of UTF-8 count as one token, rounded up. */
public final class TokenEstimator {

  /** Bytes of UTF-8 that count as one token, as the internals page sets it. */
  public static final int BYTES_PER_TOKEN = 4;

  private TokenEstimator() {}

  /**
   * Estimates the tokens of a text.
   *
   * @param sizeBytes size of the text in UTF-8
   * @return tokens
   */
  public static int estimateTokens(int sizeBytes) {
    return (int) (((long) sizeBytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
  }
}
