package org.teaseltrail.standin.model;

import java.util.List;
import org.teaseltrail.core.id.RequestId;

/**
 * Is the exported KV cache of a request, as the hashes of the blocks that it stands for.
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
