package org.teaseltrail.standin.model;

/**
 * Counters of an engine's work since the model was created; a crash doesn't reset them.
 *
 * @param submitted requests submitted
 * @param refused submitted requests that were refused
 * @param duplicates refused requests whose id was already known
 * @param completed requests that ran to completion
 * @param cancelled requests that were cancelled
 * @param broken requests that were lost in a crash
 * @param prefillTokens prompt tokens processed for ended requests
 * @param discardedPrefillTokens prefill tokens of requests that were cancelled or lost
 * @param cachedTokens prompt tokens read from the prefix cache
 * @param outputTokens tokens generated for ended requests
 * @param steps batch steps executed
 */
public record EngineCounters(
    long submitted,
    long refused,
    long duplicates,
    long completed,
    long cancelled,
    long broken,
    long prefillTokens,
    long discardedPrefillTokens,
    long cachedTokens,
    long outputTokens,
    long steps) {}
