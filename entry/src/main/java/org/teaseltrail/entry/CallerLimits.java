package org.teaseltrail.entry;

/**
 * Limits on the size of callers' requests and responses.
 *
 * @param maxBodyBytes maximum size of a request body
 * @param maxPromptBytes maximum size of a prompt in UTF-8
 * @param maxHeaderBytes maximum size of the URI and the headers together
 * @param maxTokens maximum number of tokens that a caller may request
 * @param maxAnswerBytes maximum size of a response that is buffered because it isn't streamed
 */
public record CallerLimits(
    int maxBodyBytes, int maxPromptBytes, int maxHeaderBytes, int maxTokens, int maxAnswerBytes) {}
