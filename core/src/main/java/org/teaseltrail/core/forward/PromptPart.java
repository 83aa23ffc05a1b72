package org.teaseltrail.core.forward;

/**
 * Is one part of a request's prompt. Requests share parts; the last one is the request's own or its
 * session's.
 *
 * @param id names the part's content
 * @param tokens its length, in tokens
 */
public record PromptPart(String id, int tokens) {}
