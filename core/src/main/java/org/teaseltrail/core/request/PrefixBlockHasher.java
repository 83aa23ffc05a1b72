package org.teaseltrail.core.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.digest.Sha256;
import org.teaseltrail.core.id.AdapterId;

/**
 * Computes the hash chain of the blocks of a prompt. The scheduler compares it with the prefix
 * caches of the engines to find those that have the beginning of the prompt cached. The chain is
 * defined in docs/INTERNALS.md.
 */
public final class PrefixBlockHasher {

  /** Size of a block in bytes, which corresponds to 256 tokens of four bytes each. */
  public static final int BLOCK_BYTES = 1024;

  private PrefixBlockHasher() {}

  /**
   * Computes the hashes of the complete blocks of a prompt; a partial last block is left out.
   *
   * @param target the model, version and adapter, which are the first link of the chain
   * @param promptUtf8 the prompt in UTF-8
   * @return one hash per block, in the order of the blocks
   */
  public static List<Long> hashBlocks(ModelTarget target, byte[] promptUtf8) {
    MessageDigest digest = Sha256.create();
    byte[] root = rootText(target).getBytes(StandardCharsets.UTF_8);
    long previous = chainHash(digest, 0, root, 0, root.length);
    List<Long> hashes = new ArrayList<>(promptUtf8.length / BLOCK_BYTES);
    for (int offset = 0; offset + BLOCK_BYTES <= promptUtf8.length; offset += BLOCK_BYTES) {
      previous = chainHash(digest, previous, promptUtf8, offset, BLOCK_BYTES);
      hashes.add(previous);
    }
    return hashes;
  }

  private static String rootText(ModelTarget target) {
    String adapter = target.adapter().map(AdapterId::value).orElse("");
    return target.model() + "/" + target.version() + "/" + adapter;
  }

  private static long chainHash(
      MessageDigest digest, long previous, byte[] data, int from, int length) {
    digest.update(ByteBuffer.allocate(Long.BYTES).putLong(previous).array());
    digest.update(data, from, length);
    return ByteBuffer.wrap(digest.digest()).getLong();
  }
}
