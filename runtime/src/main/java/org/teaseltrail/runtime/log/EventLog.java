package org.teaseltrail.runtime.log;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one JSON object a line for each event, without ever holding a caller up.
 *
 * <p>Guards against a reader of the output that stops reading: a program that waits for it stops
 * serving. The guard: lines go through a bounded queue to a thread of their own; what finds the
 * queue full is counted, and the count is told with the next line that finds room. Routine lines
 * have a bound a second, so that failures still find room under load.
 *
 * <p>Example: {@code log.line(LogEvent.PLAN_IN_FORCE).with(LogField.VERSION, 7).write()}.
 */
public final class EventLog implements AutoCloseable {

  /** Lines that may wait; some 300 bytes each, so less than 1 MiB. */
  private static final int QUEUED_LINES = 2_000;

  /** Routine lines a second; several times what one entry VM of the users serves. */
  private static final int ROUTINE_PER_SECOND = 100;

  /** Lines that are written at once. */
  private static final int WRITTEN_AT_ONCE = 64;

  /** Wakes the writing thread at the end. */
  private static final String NO_LINE = "";

  private static final long END_MS = 500;
  private static final long NS_PER_S = 1_000_000_000L;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong droppedInAll = new AtomicLong();
  private final OutputStream out;
  private final String program;
  private final String vm;
  private final Thread thread = new Thread(this::run, "event-log");
  private volatile boolean ending;
  private long routineSecond;
  private int routineLines;

  /**
   * Begins to write.
   *
   * @param out where lines go; stays open
   * @param program the program's name, told with each line
   * @param vm the VM's name, told with each line
   */
  public EventLog(OutputStream out, String program, String vm) {
    this.out = out;
    this.program = program;
    this.vm = vm;
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Begins a line.
   *
   * @param event what has happened
   * @return the line, to be filled and written
   */
  public Line line(LogEvent event) {
    return new Line(event);
  }

  /**
   * Returns how many lines were left out since the start.
   *
   * @return lines for which the queue or the bound a second had no room
   */
  public long droppedInAll() {
    return droppedInAll.get();
  }

  /** Writes what waits, for a bounded time. */
  @Override
  public void close() {
    ending = true;
    // A full queue has no room for this line, but then the thread is awake.
    queue.offer(NO_LINE);
    try {
      thread.join(END_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      List<String> lines = new ArrayList<>();
      while (!ending || !queue.isEmpty()) {
        lines.add(queue.take());
        queue.drainTo(lines, WRITTEN_AT_ONCE);
        out.write(String.join("", lines).getBytes(StandardCharsets.UTF_8));
        out.flush();
        lines.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (java.io.IOException e) {
      // The reader is gone for good: there is nowhere to tell it, and serving must go on.
      ending = true;
    }
  }

  private synchronized boolean hasRoutineRoom() {
    long second = System.nanoTime() / NS_PER_S;
    if (second != routineSecond) {
      routineSecond = second;
      routineLines = 0;
    }
    routineLines++;
    return routineLines <= ROUTINE_PER_SECOND;
  }

  private void drop() {
    dropped.incrementAndGet();
    droppedInAll.incrementAndGet();
  }

  /** Is a line being filled. */
  public final class Line {

    private final StringBuilder text = new StringBuilder(256);

    private final LogEvent event;

    private Line(LogEvent event) {
      this.event = event;
      text.append("{\"time\":\"").append(Instant.now());
      text.append("\",\"program\":\"").append(program);
      text.append("\",\"vm\":\"").append(vm);
      text.append("\",\"event\":\"").append(event.text()).append('"');
    }

    /**
     * Adds a text.
     *
     * @param field what is told
     * @param value its value; no key, prompt or secret
     * @return this line
     */
    public Line with(LogField field, String value) {
      name(field).append('"');
      escape(value);
      text.append('"');
      return this;
    }

    /**
     * Adds a number.
     *
     * @param field what is told
     * @param value its value
     * @return this line
     */
    public Line with(LogField field, long value) {
      name(field).append(value);
      return this;
    }

    /**
     * Adds a number with decimals.
     *
     * @param field what is told
     * @param value its value, finite
     * @return this line
     */
    public Line with(LogField field, double value) {
      name(field).append(value);
      return this;
    }

    /**
     * Adds a truth value.
     *
     * @param field what is told
     * @param value its value
     * @return this line
     */
    public Line with(LogField field, boolean value) {
      name(field).append(value);
      return this;
    }

    /** Writes a line that must find room even under load: a failure, or a change of state. */
    public void write() {
      long lost = dropped.getAndSet(0);
      if (lost > 0) {
        with(LogField.LINES_DROPPED_BEFORE, lost);
      }
      if (!queue.offer(text.append("}\n").toString())) {
        dropped.addAndGet(lost);
        drop();
      }
    }

    /** Writes a line of which only so many a second are kept. */
    public void writeRoutine() {
      if (hasRoutineRoom()) {
        write();
      } else {
        drop();
      }
    }

    private StringBuilder name(LogField field) {
      if (!event.has(field)) {
        throw new IllegalArgumentException(event + " has no " + field);
      }
      return text.append(",\"").append(field.text()).append("\":");
    }

    private void escape(String value) {
      for (int i = 0; i < value.length(); i++) {
        char c = value.charAt(i);
        if (c == '"' || c == '\\') {
          text.append('\\').append(c);
        } else if (c < ' ') {
          text.append(String.format("\\u%04x", (int) c));
        } else {
          text.append(c);
        }
      }
    }
  }
}
