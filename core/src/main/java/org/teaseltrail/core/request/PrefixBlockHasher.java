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
 * Makes the hash chain of a prompt's blocks, by which a scheduler tells which engine has a prompt's
 * beginning in its cache. The internals page defines the chain.
 */
public final class PrefixBlockHasher {

  /** Size of a block in bytes: 256 tokens of four bytes. */
  public static final int BLOCK_BYTES = 1024;

  private PrefixBlockHasher() {}

  /**
   * Returns the hashes of the whole blocks of a prompt.
   *
   * @param target the model, version and adapter, which begin the chain
   * @param promptUtf8 the prompt
   * @return one hash a block, first block first
   */
  public static List<Long> hashBlocks(ModelTarget target, byte[] promptUtf8) {
    MessageDigest digest = Sha256.create();
    byte[] origin = origin(target).getBytes(StandardCharsets.UTF_8);
    long previous = link(digest, 0, origin, 0, origin.length);
    List<Long> hashes = new ArrayList<>(promptUtf8.length / BLOCK_BYTES);
    for (int at = 0; at + BLOCK_BYTES <= promptUtf8.length; at += BLOCK_BYTES) {
      previous = link(digest, previous, promptUtf8, at, BLOCK_BYTES);
      hashes.add(previous);
    }
    return hashes;
  }

  private static String origin(ModelTarget target) {
    String adapter = target.adapter().map(AdapterId::value).orElse("");
    return target.model() + "/" + target.version() + "/" + adapter;
  }

  private static long link(MessageDigest digest, long previous, byte[] data, int from, int length) {
    digest.update(ByteBuffer.allocate(Long.BYTES).putLong(previous).array());
    digest.update(data, from, length);
    return ByteBuffer.wrap(digest.digest()).getLong();
  }
}
