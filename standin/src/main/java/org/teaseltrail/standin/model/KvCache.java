package org.teaseltrail.standin.model;

import java.util.List;
import org.teaseltrail.core.id.RequestId;

/**
 * Exported KV cache of a request, represented by the hashes of its blocks.
 *
 * @param request the request
 * @param blocks hash chain of the blocks, first block first
 */
public record KvCache(RequestId request, List<Long> blocks) {

  /** Copies the list. */
  public KvCache {
    blocks = List.copyOf(blocks);
  }
}
