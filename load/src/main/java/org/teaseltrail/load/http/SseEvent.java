package org.teaseltrail.load.http;

/**
 * Server-sent event.
 *
 * @param type its type
 * @param data its data
 */
record SseEvent(String type, String data) {}
