package org.teaseltrail.load.workload;

import java.util.ArrayList;
import java.util.List;

/**
 * Is a prompt as a list of segments; prompts that begin with equal segments share a prefix.
 *
 * @param segments its parts in order
 */
public record Prompt(List<Segment> segments) {

  /** Length of a prefix block, in tokens (docs/INTERNALS.md). */
  public static final int BLOCK_TOKENS = 256;

  private static final long MIX_FACTOR = 0x9E3779B97F4A7C15L;

  /** Copies the list. */
  public Prompt {
    segments = List.copyOf(segments);
  }

  /** Returns the length. */
  public int tokens() {
    return segments.stream().mapToInt(Segment::tokens).sum();
  }

  /** Returns the text. */
  public String text() {
    StringBuilder text = new StringBuilder(tokens() * Segment.TOKEN_BYTES);
    segments.forEach(s -> s.appendTo(text));
    return text.toString();
  }

  /** Returns this prompt followed by more segments. */
  public Prompt then(Segment... more) {
    List<Segment> all = new ArrayList<>(segments);
    all.addAll(List.of(more));
    return new Prompt(all);
  }

  /**
   * Returns a chain of one number for each whole block, equal for equal beginnings. It stands for
   * the hash chain of the real prompt's bytes, without the cost of making the bytes.
   */
  public List<Long> blocks() {
    List<Long> blocks = new ArrayList<>();
    long chain = 0;
    int filledTokens = 0;
    for (Segment segment : segments) {
      int leftTokens = segment.tokens();
      while (leftTokens > 0) {
        int takenTokens = Math.min(leftTokens, BLOCK_TOKENS - filledTokens);
        chain = mix(chain, segment.seed(), segment.tokens() - leftTokens, takenTokens);
        leftTokens -= takenTokens;
        filledTokens += takenTokens;
        if (filledTokens == BLOCK_TOKENS) {
          blocks.add(chain);
          filledTokens = 0;
        }
      }
    }
    return blocks;
  }

  private static long mix(long chain, long seed, int fromToken, int tokens) {
    long mixed = (chain ^ seed) * MIX_FACTOR + fromToken * 31L + tokens;
    mixed ^= mixed >>> 32;
    mixed *= MIX_FACTOR;
    return mixed ^ (mixed >>> 29);
  }
}
