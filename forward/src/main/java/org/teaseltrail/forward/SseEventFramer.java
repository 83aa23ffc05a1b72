package org.teaseltrail.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.teaseltrail.wire.http.EmbeddedStatusLine;

/**
 * Splits an event stream into complete events. Only complete events are forwarded, so that another
 * upstream can resume a stream that broke in the middle of an event.
 */
final class SseEventFramer {

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final Set<String> EVENT_FIELDS = Set.of("data", "event", "id", "retry");
  private static final byte[] STATUS_LINE = "HTTP/".getBytes(StandardCharsets.US_ASCII);

  /** Maximum size of an event; an upstream that exceeds it does not send valid events. */
  static final int MAX_EVENT_BYTES = 1024 * 1024;

  private static final byte[] EMPTY = {};

  private static final int GROWTH = 2;

  private byte[] pending = EMPTY;
  private int pendingBytes;
  private int scannedBytes;
  private boolean lineIsEmpty = true;
  private Optional<String> lastEventId = Optional.empty();
  private long lastNumber = Long.MIN_VALUE;
  private long forwardedEvents;
  private boolean atOtherAnswer;

  /**
   * Decodes the next bytes of the stream.
   *
   * @param bytes the bytes
   * @return the events that they complete, unchanged, without those whose numeric id was forwarded
   *     already, and nothing from the head of another answer on
   * @throws OversizedEventException if an event exceeds the maximum size
   */
  byte[] decode(byte[] bytes) throws OversizedEventException {
    append(bytes);
    ByteArrayOutputStream completeEvents = new ByteArrayOutputStream(bytes.length);
    int start = 0;
    for (; scannedBytes < pendingBytes && !atOtherAnswer; scannedBytes++) {
      byte next = pending[scannedBytes];
      if (next != '\n') {
        lineIsEmpty = lineIsEmpty && next == '\r';
        continue;
      }
      if (lineIsEmpty) {
        atOtherAnswer = holdsOtherAnswer(pending, start, scannedBytes);
        complete(pending, start, scannedBytes + 1, completeEvents);
        start = scannedBytes + 1;
      }
      lineIsEmpty = true;
    }
    dropFirst(start);
    if (pendingBytes > MAX_EVENT_BYTES) {
      throw new OversizedEventException();
    }
    return completeEvents.toByteArray();
  }

  /**
   * Adds bytes behind the partial event; the array grows in steps, so that few bytes are copied.
   */
  private void append(byte[] bytes) {
    int neededBytes = pendingBytes + bytes.length;
    if (neededBytes > pending.length) {
      pending = Arrays.copyOf(pending, Math.max(neededBytes, GROWTH * pendingBytes));
    }
    System.arraycopy(bytes, 0, pending, pendingBytes, bytes.length);
    pendingBytes = neededBytes;
  }

  private void dropFirst(int bytes) {
    if (bytes > 0) {
      pending = Arrays.copyOfRange(pending, bytes, pendingBytes);
      pendingBytes -= bytes;
      scannedBytes -= bytes;
    }
  }

  /** Returns whether no partial event is pending. */
  boolean isAtEventBoundary() {
    return pendingBytes == 0;
  }

  /** Returns the bytes of the event that isn't complete. */
  int pendingBytes() {
    return pendingBytes;
  }

  /**
   * Returns whether the head of another answer has followed the events. Guards against a second
   * answer behind a stream without a length, which would be forwarded as events.
   */
  boolean isAtOtherAnswer() {
    return atOtherAnswer;
  }

  /** Discards the part of an event that its upstream did not complete. */
  void discardPartialEvent() {
    pending = EMPTY;
    pendingBytes = 0;
    scannedBytes = 0;
    lineIsEmpty = true;
    atOtherAnswer = false;
  }

  /** Returns the id of the last forwarded event that had one. */
  Optional<String> lastEventId() {
    return lastEventId;
  }

  /** Returns the number of forwarded events. */
  long forwardedEvents() {
    return forwardedEvents;
  }

  private void complete(byte[] all, int start, int end, ByteArrayOutputStream output) {
    if (atOtherAnswer) {
      return;
    }
    Optional<String> id = idOf(all, start, end);
    OptionalLong number = id.map(SseEventFramer::number).orElse(OptionalLong.empty());
    if (number.isPresent()) {
      if (number.getAsLong() <= lastNumber) {
        return;
      }
      lastNumber = number.getAsLong();
    }
    if (id.isPresent()) {
      lastEventId = id;
    }
    forwardedEvents++;
    output.write(all, start, end - start);
  }

  /**
   * Returns whether an event is the head of another answer, or an event that broke off and was
   * joined with such a head: a status line, and behind it a header. A status line alone may be
   * quoted.
   */
  private static boolean holdsOtherAnswer(byte[] all, int start, int end) {
    if (startsWith(all, start, end, STATUS_LINE)) {
      return true;
    }
    return contains(all, start, end, STATUS_LINE) && hasHeaderBehindStatusLine(all, start, end);
  }

  private static boolean contains(byte[] all, int start, int end, byte[] text) {
    for (int i = start; i + text.length <= end; i++) {
      if (all[i] == text[0] && startsWith(all, i, end, text)) {
        return true;
      }
    }
    return false;
  }

  private static boolean hasHeaderBehindStatusLine(byte[] all, int start, int end) {
    boolean afterStatusLine = false;
    for (String line : new String(all, start, end - start, StandardCharsets.UTF_8).split("\n")) {
      if (afterStatusLine && !isEventLine(line)) {
        return true;
      }
      afterStatusLine |= EmbeddedStatusLine.isIn(line);
    }
    return false;
  }

  private static boolean isEventLine(String line) {
    String field = line.split(":", 2)[0].trim();
    return field.isEmpty() || EVENT_FIELDS.contains(field);
  }

  /** Returns the value of an event's id field. */
  private static Optional<String> idOf(byte[] all, int start, int end) {
    int lineStart = start;
    for (int i = start; i < end; i++) {
      if (all[i] == '\n') {
        if (startsWith(all, lineStart, i, ID_FIELD)) {
          int from = lineStart + ID_FIELD.length;
          return Optional.of(new String(all, from, i - from, StandardCharsets.UTF_8).trim());
        }
        lineStart = i + 1;
      }
    }
    return Optional.empty();
  }

  private static boolean startsWith(byte[] all, int start, int end, byte[] prefix) {
    return end - start >= prefix.length
        && Arrays.equals(all, start, start + prefix.length, prefix, 0, prefix.length);
  }

  private static OptionalLong number(String id) {
    try {
      return OptionalLong.of(Long.parseLong(id));
    } catch (NumberFormatException e) {
      // Ids need not be numbers; those that are not have no known order.
      return OptionalLong.empty();
    }
  }

  /** Thrown if an event exceeds the maximum size. */
  static final class OversizedEventException extends Exception {
    private static final long serialVersionUID = 1L;
  }
}
