package org.teaseltrail.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Cuts a stream into whole events, so that one that breaks off in the middle of an event can go on
 * elsewhere: only whole events are passed on.
 */
final class EventBlocks {

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  /** Bytes of an event at most; an upstream that sends more sends no events. */
  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  private static final byte[] NOTHING = {};

  private byte[] pending = NOTHING;
  private Optional<String> lastId = Optional.empty();
  private long lastNumber = Long.MIN_VALUE;
  private long passedOn;

  /**
   * Takes bytes of the stream.
   *
   * @param bytes the bytes
   * @return the whole events that they complete, as they came; those with a number that was passed
   *     on already are left out
   * @throws OversizedEventException if an event doesn't end
   */
  byte[] take(byte[] bytes) throws OversizedEventException {
    byte[] all = joined(pending, bytes);
    ByteArrayOutputStream whole = new ByteArrayOutputStream(all.length);
    int begin = 0;
    boolean lineIsEmpty = true;
    for (int i = 0; i < all.length; i++) {
      byte next = all[i];
      if (next != '\n') {
        lineIsEmpty = lineIsEmpty && next == '\r';
        continue;
      }
      if (lineIsEmpty) {
        complete(all, begin, i + 1, whole);
        begin = i + 1;
      }
      lineIsEmpty = true;
    }
    pending = begin == all.length ? NOTHING : Arrays.copyOfRange(all, begin, all.length);
    if (pending.length > MAX_EVENT_BYTES) {
      throw new OversizedEventException();
    }
    return whole.toByteArray();
  }

  /** Returns whether the stream stands between two events. */
  boolean isBetweenEvents() {
    return pending.length == 0;
  }

  /** Forgets a part of an event that its upstream will not end. */
  void dropPart() {
    pending = NOTHING;
  }

  /** Returns the id of the last event passed on. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Returns how many events were passed on. */
  long passedOn() {
    return passedOn;
  }

  private void complete(byte[] all, int begin, int end, ByteArrayOutputStream whole) {
    Optional<String> id = idOf(all, begin, end);
    OptionalLong number = id.map(EventBlocks::number).orElse(OptionalLong.empty());
    if (number.isPresent()) {
      if (number.getAsLong() <= lastNumber) {
        return;
      }
      lastNumber = number.getAsLong();
    }
    if (id.isPresent()) {
      lastId = id;
    }
    passedOn++;
    whole.write(all, begin, end - begin);
  }

  /** Returns the text of an event's id field. */
  private static Optional<String> idOf(byte[] all, int begin, int end) {
    int lineBegin = begin;
    for (int i = begin; i < end; i++) {
      if (all[i] == '\n') {
        if (isId(all, lineBegin, i)) {
          int from = lineBegin + ID_FIELD.length;
          return Optional.of(new String(all, from, i - from, StandardCharsets.UTF_8).trim());
        }
        lineBegin = i + 1;
      }
    }
    return Optional.empty();
  }

  private static boolean isId(byte[] all, int begin, int end) {
    return end - begin >= ID_FIELD.length
        && Arrays.equals(all, begin, begin + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
  }

  private static OptionalLong number(String id) {
    try {
      return OptionalLong.of(Long.parseLong(id));
    } catch (NumberFormatException e) {
      // Ids need not be numbers; then nothing can be said about their order.
      return OptionalLong.empty();
    }
  }

  private static byte[] joined(byte[] first, byte[] second) {
    if (first.length == 0) {
      return second;
    }
    byte[] all = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }

  /** Says that an event is longer than any real one. */
  static final class OversizedEventException extends Exception {
    private static final long serialVersionUID = 1L;
  }
}
