package org.teaseltrail.standin.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.teaseltrail.core.id.RequestId;

/**
 * Generates the text of an answer from a seed. A caller that knows the seed can verify that an
 * answer is complete and belongs to its request. Each token is four letters long, as four bytes
 * count as one token.
 */
public final class AnswerTextGenerator {

  private static final int LETTERS_PER_TOKEN = 4;
  private static final int ALPHABET_SIZE = 26;
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private AnswerTextGenerator() {}

  /**
   * Returns the seed of the answer to a prompt. A caller knows its prompt, so it can verify an
   * answer without relying on any id that a component on the request path sets.
   *
   * @param prompt the prompt
   * @return the seed
   */
  public static long seedOf(String prompt) {
    byte[] digest = sha256().digest(prompt.getBytes(StandardCharsets.UTF_8));
    return ByteBuffer.wrap(digest).getLong();
  }

  /**
   * Returns the seed of the answer to a request whose prompt text isn't available.
   *
   * @param request the request
   * @return the seed
   */
  public static long seedOf(RequestId request) {
    return seedOf(request.value());
  }

  /**
   * Returns the text of a range of tokens.
   *
   * @param answerSeed the answer's seed
   * @param firstToken index of the first token
   * @param tokens number of tokens
   * @return the text
   */
  public static String text(long answerSeed, int firstToken, int tokens) {
    StringBuilder text = new StringBuilder(tokens * LETTERS_PER_TOKEN);
    for (int index = firstToken; index < firstToken + tokens; index++) {
      appendToken(text, mix(answerSeed, index));
    }
    return text.toString();
  }

  /** Hashes a seed and an index to 64 bits with the finalizer of SplitMix64. */
  static long mix(long seed, long index) {
    long mixed = seed + (index + 1) * GOLDEN_GAMMA;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }

  private static void appendToken(StringBuilder text, long mixed) {
    long remaining = mixed >>> 1;
    for (int i = 0; i < LETTERS_PER_TOKEN; i++) {
      text.append((char) ('a' + remaining % ALPHABET_SIZE));
      remaining /= ALPHABET_SIZE;
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
