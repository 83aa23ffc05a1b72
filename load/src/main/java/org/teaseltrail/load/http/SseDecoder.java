package org.teaseltrail.load.http;

import java.util.ArrayList;
import java.util.List;

/** Incremental decoder that splits a server-sent event stream into events as chunks arrive. */
final class SseDecoder {

  private static final String EVENT = "event:";
  private static final String DATA = "data:";
  private static final String DEFAULT_TYPE = "message";

  private final StringBuilder unread = new StringBuilder();
  private String type = DEFAULT_TYPE;
  private String data = "";

  /** Adds a chunk and returns the events that it completes. */
  List<SseEvent> feed(String chunk) {
    unread.append(chunk);
    List<SseEvent> events = new ArrayList<>();
    int from = 0;
    int end = unread.indexOf("\n");
    while (end >= 0) {
      line(unread.substring(from, end).stripTrailing(), events);
      from = end + 1;
      end = unread.indexOf("\n", from);
    }
    unread.delete(0, from);
    return events;
  }

  private void line(String line, List<SseEvent> events) {
    if (line.isEmpty()) {
      if (!data.isEmpty()) {
        events.add(new SseEvent(type, data));
      }
      type = DEFAULT_TYPE;
      data = "";
    } else if (line.startsWith(EVENT)) {
      type = line.substring(EVENT.length()).strip();
    } else if (line.startsWith(DATA)) {
      data += line.substring(DATA.length()).strip();
    }
  }
}
