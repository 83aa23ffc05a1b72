package org.teaseltrail.core.upstream;

import java.util.List;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Event by which an engine reports that it stored or evicted blocks of its prefix cache. Events
 * arrive with a delay, and gaps in the sequence show that events were lost.
 *
 * @param upstream the engine
 * @param incarnation its incarnation
 * @param sequence sequence number, one higher than that of the previous event
 * @param storedBlocks hashes of the blocks that are now cached
 * @param removedBlocks hashes of the blocks that are no longer cached
 */
public record CacheEvent(
    UpstreamId upstream,
    Incarnation incarnation,
    long sequence,
    List<Long> storedBlocks,
    List<Long> removedBlocks) {}
