package org.teaseltrail.standin.model;

/**
 * Counts what an engine has done since it was made; a crash doesn't reset it.
 *
 * @param submitted requests handed in
 * @param refused of these, refused
 * @param duplicates of these, refused since their id was known
 * @param completed requests that ran to their end
 * @param cancelled requests that were stopped
 * @param broken requests that were lost in a crash
 * @param prefillTokens prompt tokens processed for ended requests
 * @param discardedPrefillTokens of these, for requests that were stopped or lost
 * @param cachedTokens prompt tokens that the cache saved
 * @param outputTokens tokens generated for ended requests
 * @param steps steps run
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
