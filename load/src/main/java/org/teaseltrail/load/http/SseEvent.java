package org.teaseltrail.load.http;

/**
 * Is one server-sent event.
 *
 * @param type its type
 * @param data its data
 */
record SseEvent(String type, String data) {}
