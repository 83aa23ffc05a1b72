package org.teaseltrail.standin.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.teaseltrail.core.id.RequestId;

/**
 * Makes the text of an answer from its seed, so that whoever knows the seed can tell whether an
 * answer is whole and its own. Each token is four letters, the length that counts as one token.
 */
public final class AnswerText {

  private static final int TOKEN_LETTERS = 4;
  private static final int LETTERS = 26;
  private static final long SPREAD = 0x9E3779B97F4A7C15L;

  private AnswerText() {}

  /**
   * Returns the seed of the answer to a prompt. A caller knows its prompt, so it can check an
   * answer without trusting any id on the way.
   *
   * @param prompt the prompt
   * @return the seed
   */
  public static long seedOf(String prompt) {
    byte[] digest = sha256().digest(prompt.getBytes(StandardCharsets.UTF_8));
    return ByteBuffer.wrap(digest).getLong();
  }

  /**
   * Returns the seed of the answer to a request whose prompt isn't written out.
   *
   * @param request the request
   * @return the seed
   */
  public static long seedOf(RequestId request) {
    return seedOf(request.value());
  }

  /**
   * Returns a part of an answer.
   *
   * @param answerSeed the answer's seed
   * @param firstToken index of the first token wanted
   * @param tokens how many tokens
   * @return the text
   */
  public static String text(long answerSeed, int firstToken, int tokens) {
    StringBuilder text = new StringBuilder(tokens * TOKEN_LETTERS);
    for (int index = firstToken; index < firstToken + tokens; index++) {
      appendToken(text, mix(answerSeed, index));
    }
    return text.toString();
  }

  /** Spreads a seed and an index over all 64 bits (the finalizer of SplitMix64). */
  static long mix(long seed, long index) {
    long mixed = seed + (index + 1) * SPREAD;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }

  private static void appendToken(StringBuilder text, long mixed) {
    long rest = mixed >>> 1;
    for (int i = 0; i < TOKEN_LETTERS; i++) {
      text.append((char) ('a' + rest % LETTERS));
      rest /= LETTERS;
    }
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException failure) {
      throw new IllegalStateException("every Java platform has SHA-256", failure);
    }
  }
}
