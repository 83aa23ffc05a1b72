package org.teaseltrail.core.upstream;

/**
 * Load that an upstream reports. The values are outdated when the report arrives; its age states by
 * how much.
 *
 * @param runningRequests number of requests in its batch
 * @param queuedRequests number of requests that it has accepted and not started
 * @param queuedPrefillTokens number of prompt tokens that it has yet to process
 * @param stepMs mean duration of its latest steps, in milliseconds
 * @param cacheUsedFraction fraction of its prefix cache in use
 * @param ageMs age of the report when it was sent, in milliseconds
 */
public record LoadReport(
    int runningRequests,
    int queuedRequests,
    long queuedPrefillTokens,
    double stepMs,
    double cacheUsedFraction,
    long ageMs) {}
