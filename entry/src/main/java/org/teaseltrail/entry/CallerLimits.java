package org.teaseltrail.entry;

/**
 * Bounds what callers may send and ask for.
 *
 * @param maxBodyBytes longest body
 * @param maxPromptBytes longest prompt in UTF-8
 * @param maxHeaderBytes longest head
 * @param maxTokens most tokens to generate
 * @param maxAnswerBytes longest answer held in one piece
 */
public record CallerLimits(
    int maxBodyBytes, int maxPromptBytes, int maxHeaderBytes, int maxTokens, int maxAnswerBytes) {}
