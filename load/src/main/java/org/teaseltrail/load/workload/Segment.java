package org.teaseltrail.load.workload;

import java.util.SplittableRandom;

/**
 * Is a part of a prompt whose text follows from a seed, so that equal seeds give equal text.
 *
 * @param seed what the text follows from
 * @param tokens its length
 */
public record Segment(long seed, int tokens) {

  /** Length of a token of the stand-ins, in bytes. */
  public static final int TOKEN_BYTES = 4;

  private static final String LETTERS = "abcdefghijklmnopqrstuvwxyz";

  /** Appends the text, four bytes a token. */
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
