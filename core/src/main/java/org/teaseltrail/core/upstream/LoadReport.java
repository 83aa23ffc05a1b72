package org.teaseltrail.core.upstream;

/**
 * Is an upstream's word on its load. It is stale when it arrives; its age says by how much.
 *
 * @param runningRequests requests in its batch
 * @param queuedRequests requests it has taken and not begun
 * @param queuedPrefillTokens prompt tokens it has yet to process
 * @param stepMs mean time of its last steps, in milliseconds
 * @param cacheUsedFraction part of its prefix cache in use
 * @param ageMs age of the report when it was sent
 */
public record LoadReport(
    int runningRequests,
    int queuedRequests,
    long queuedPrefillTokens,
    double stepMs,
    double cacheUsedFraction,
    long ageMs) {}
