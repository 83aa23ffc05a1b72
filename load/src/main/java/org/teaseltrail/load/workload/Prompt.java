package org.teaseltrail.load.workload;

import java.util.ArrayList;
import java.util.List;

/**
 * Prompt as a list of segments. Prompts that start with equal segments share a prefix.
 *
 * @param segments its segments in order
 */
public record Prompt(List<Segment> segments) {

  /** Length of a prefix block, in tokens (docs/INTERNALS.md). */
  public static final int BLOCK_TOKENS = 256;

  private static final long MIX_FACTOR = 0x9E3779B97F4A7C15L;

  /** Creates the prompt with a copy of the segments. */
  public Prompt {
    segments = List.copyOf(segments);
  }

  /** Returns the length in tokens. */
  public int tokens() {
    return segments.stream().mapToInt(Segment::tokens).sum();
  }

  /** Returns the text. */
  public String text() {
    StringBuilder text = new StringBuilder(tokens() * Segment.TOKEN_BYTES);
    segments.forEach(s -> s.appendTo(text));
    return text.toString();
  }

  /** Returns a prompt that consists of this prompt and the given segments. */
  public Prompt append(Segment... more) {
    List<Segment> all = new ArrayList<>(segments);
    all.addAll(List.of(more));
    return new Prompt(all);
  }

  /**
   * Returns a hash chain with one value for each complete block; equal prefixes have equal values.
   * It replaces the hash chain over the real prompt's bytes, so that the bytes need not be
   * generated.
   */
  public List<Long> blocks() {
    List<Long> blocks = new ArrayList<>();
    long chain = 0;
    int filledTokens = 0;
    for (Segment segment : segments) {
      int remainingTokens = segment.tokens();
      while (remainingTokens > 0) {
        int takenTokens = Math.min(remainingTokens, BLOCK_TOKENS - filledTokens);
        chain = mix(chain, segment.seed(), segment.tokens() - remainingTokens, takenTokens);
        remainingTokens -= takenTokens;
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
