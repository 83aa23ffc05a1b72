package org.teaseltrail.core.message;

/**
 * Tokens processed for a request.
 *
 * @param promptTokens number of prompt tokens
 * @param cachedTokens number of prompt tokens that were found in the prefix cache
 * @param outputTokens number of generated tokens
 */
public record Usage(int promptTokens, int cachedTokens, int outputTokens) {}
