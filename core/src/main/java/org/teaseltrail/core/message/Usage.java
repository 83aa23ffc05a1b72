package org.teaseltrail.core.message;

/**
 * Counts the work done for a request.
 *
 * @param promptTokens prompt tokens
 * @param cachedTokens prompt tokens that the prefix cache saved
 * @param outputTokens tokens generated
 */
public record Usage(int promptTokens, int cachedTokens, int outputTokens) {}
