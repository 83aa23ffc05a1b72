package org.teaseltrail.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream into whole events, so that one that breaks off in the middle of an event can go on
 * elsewhere: only whole events are passed on.
 */
final class EventBlocks {

  private static final String ID_FIELD = "id:";

  /** Bytes of an event at most; an upstream that sends more sends no events. */
  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private Optional<String> lastId = Optional.empty();
  private long lastNumber = Long.MIN_VALUE;
  private boolean lineIsEmpty = true;

  /**
   * Takes bytes of the stream.
   *
   * @param bytes the bytes
   * @return the whole events that they complete, as they came; those with a number that was passed
   *     on already are left out
   * @throws OversizedEventException if an event doesn't end
   */
  byte[] take(byte[] bytes) throws OversizedEventException {
    ByteArrayOutputStream whole = new ByteArrayOutputStream(bytes.length + pending.size());
    for (byte next : bytes) {
      pending.write(next);
      if (next == '\n') {
        if (lineIsEmpty) {
          complete(whole);
        }
        lineIsEmpty = true;
      } else if (next != '\r') {
        lineIsEmpty = false;
      }
    }
    if (pending.size() > MAX_EVENT_BYTES) {
      throw new OversizedEventException();
    }
    return whole.toByteArray();
  }

  /** Returns whether the stream stands between two events. */
  boolean isBetweenEvents() {
    return pending.size() == 0;
  }

  /** Forgets a part of an event that its upstream will not end. */
  void dropPart() {
    pending.reset();
    lineIsEmpty = true;
  }

  /** Returns the id of the last event passed on. */
  Optional<String> lastId() {
    return lastId;
  }

  private void complete(ByteArrayOutputStream whole) {
    byte[] event = pending.toByteArray();
    pending.reset();
    Optional<String> id = idOf(event);
    Optional<Long> number = id.flatMap(EventBlocks::number);
    if (number.isPresent()) {
      if (number.get() <= lastNumber) {
        return;
      }
      lastNumber = number.get();
    }
    if (id.isPresent()) {
      lastId = id;
    }
    whole.writeBytes(event);
  }

  private static Optional<String> idOf(byte[] event) {
    for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n")) {
      if (line.startsWith(ID_FIELD)) {
        return Optional.of(line.substring(ID_FIELD.length()).trim());
      }
    }
    return Optional.empty();
  }

  private static Optional<Long> number(String id) {
    try {
      return Optional.of(Long.parseLong(id));
    } catch (NumberFormatException e) {
      // Ids need not be numbers; then nothing can be said about their order.
      return Optional.empty();
    }
  }

  /** Says that an event is longer than any real one. */
  static final class OversizedEventException extends Exception {
    private static final long serialVersionUID = 1L;
  }
}
