package org.teaseltrail.load.workload;

import java.util.SplittableRandom;

/**
 * Part of a prompt. Its text is generated from a seed, so that equal seeds result in equal text.
 *
 * @param seed seed of the text
 * @param tokens its length in tokens
 */
public record Segment(long seed, int tokens) {

  /** Length of a token in bytes, as the stand-ins (simulated upstreams) count tokens. */
  public static final int TOKEN_BYTES = 4;

  private static final String LETTERS = "abcdefghijklmnopqrstuvwxyz";

  /** Appends the text with {@link #TOKEN_BYTES} characters per token. */
  void appendTo(StringBuilder text) {
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < tokens; i++) {
      for (int letter = 1; letter < TOKEN_BYTES; letter++) {
        text.append(LETTERS.charAt(random.nextInt(LETTERS.length())));
      }
      text.append(' ');
    }
  }
}
