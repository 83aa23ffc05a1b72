package org.teaseltrail.core.upstream;

import java.util.List;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Tells that an engine has stored or dropped prefix blocks. Events come late, and gaps in the
 * sequence mean that some were lost.
 *
 * @param upstream the engine
 * @param incarnation which of its lives
 * @param sequence one more than the event before
 * @param storedBlocks hashes of blocks it now holds
 * @param removedBlocks hashes of blocks it no longer holds
 */
public record CacheEvent(
    UpstreamId upstream,
    Incarnation incarnation,
    long sequence,
    List<Long> storedBlocks,
    List<Long> removedBlocks) {}
