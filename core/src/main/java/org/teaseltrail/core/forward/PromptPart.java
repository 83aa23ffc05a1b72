package org.teaseltrail.core.forward;

/**
 * One part of a request's prompt. Requests may share parts; the last part belongs to the request or
 * its session alone.
 *
 * @param id identifies the part's content
 * @param tokens its length, in tokens
 */
public record PromptPart(String id, int tokens) {}
