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
 * Structured event log that writes one JSON object per line and never blocks its callers.
 *
 * <p>If the reader of the output stops reading, a program that writes synchronously stops serving.
 * Lines therefore pass through a bounded queue to a separate writer thread. A line that finds the
 * queue full is dropped and counted, and the next line that is queued reports the count. Routine
 * lines are limited to a rate per second, so that the queue has capacity left for failures under
 * load.
 *
 * <p>Example: {@code log.line(LogEvent.PLAN_IN_FORCE).with(LogField.VERSION, 7).write()}.
 */
public final class EventLog implements AutoCloseable {

  /** Capacity of the queue in lines; at about 300 bytes each, it takes less than 1 MiB. */
  private static final int QUEUE_CAPACITY = 2_000;

  /**
   * Rate limit of routine lines per second; several times the request rate that one entry VM is
   * expected to serve.
   */
  private static final int ROUTINE_LINES_PER_SECOND = 100;

  /** Maximum number of queued lines added to one write. */
  private static final int MAX_BATCH_LINES = 64;

  /** Empty line that wakes the writer thread on close. */
  private static final String WAKE_UP = "";

  private static final long CLOSE_TIMEOUT_MS = 500;
  private static final long NS_PER_S = 1_000_000_000L;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicLong unreportedDrops = new AtomicLong();
  private final AtomicLong droppedLines = new AtomicLong();
  private final OutputStream out;
  private final String program;
  private final String vm;
  private final Thread writerThread = new Thread(this::run, "event-log");
  private volatile boolean closing;
  private long rateLimitSecond;
  private int linesInSecond;

  /**
   * Creates the log and starts its writer thread.
   *
   * @param out the output stream; not closed by this class
   * @param program the program's name, added to each line
   * @param vm the VM's name, added to each line
   */
  public EventLog(OutputStream out, String program, String vm) {
    this.out = out;
    this.program = program;
    this.vm = vm;
    writerThread.setDaemon(true);
    writerThread.start();
  }

  /**
   * Starts a line.
   *
   * @param event the kind of event
   * @return a builder for the line
   */
  public Line line(LogEvent event) {
    return new Line(event);
  }

  /**
   * Returns the number of lines dropped since the start.
   *
   * @return lines dropped because the queue was full or the rate limit was reached
   */
  public long droppedLines() {
    return droppedLines.get();
  }

  /** Writes the queued lines, waiting at most a fixed time. */
  @Override
  public void close() {
    closing = true;
    // The offer fails only if the queue is full, and then the writer thread is awake.
    queue.offer(WAKE_UP);
    try {
      writerThread.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      List<String> lines = new ArrayList<>();
      while (!closing || !queue.isEmpty()) {
        lines.add(queue.take());
        queue.drainTo(lines, MAX_BATCH_LINES);
        out.write(String.join("", lines).getBytes(StandardCharsets.UTF_8));
        out.flush();
        lines.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (java.io.IOException e) {
      // The output is closed for good. The failure can't be reported anywhere, and serving must
      // continue.
      closing = true;
    }
  }

  private synchronized boolean tryAcquirePermit() {
    long second = System.nanoTime() / NS_PER_S;
    if (second != rateLimitSecond) {
      rateLimitSecond = second;
      linesInSecond = 0;
    }
    linesInSecond++;
    return linesInSecond <= ROUTINE_LINES_PER_SECOND;
  }

  private void countDrop() {
    unreportedDrops.incrementAndGet();
    droppedLines.incrementAndGet();
  }

  /** Builder for one line. */
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
     * Adds a text field.
     *
     * @param field the field
     * @param value its value; must not contain an API key, prompt or secret
     * @return this line
     */
    public Line with(LogField field, String value) {
      name(field).append('"');
      appendEscaped(value);
      text.append('"');
      return this;
    }

    /**
     * Adds an integer field.
     *
     * @param field the field
     * @param value its value
     * @return this line
     */
    public Line with(LogField field, long value) {
      name(field).append(value);
      return this;
    }

    /**
     * Adds a floating-point field.
     *
     * @param field the field
     * @param value its value, finite
     * @return this line
     */
    public Line with(LogField field, double value) {
      name(field).append(value);
      return this;
    }

    /**
     * Adds a boolean field.
     *
     * @param field the field
     * @param value its value
     * @return this line
     */
    public Line with(LogField field, boolean value) {
      name(field).append(value);
      return this;
    }

    /** Queues a line that isn't rate-limited: a failure or a state change. */
    public void write() {
      long drops = unreportedDrops.getAndSet(0);
      if (drops > 0) {
        with(LogField.LINES_DROPPED_BEFORE, drops);
      }
      if (!queue.offer(text.append("}\n").toString())) {
        unreportedDrops.addAndGet(drops);
        countDrop();
      }
    }

    /** Queues a routine line, or drops it if the rate limit is reached. */
    public void writeRateLimited() {
      if (tryAcquirePermit()) {
        write();
      } else {
        countDrop();
      }
    }

    private StringBuilder name(LogField field) {
      if (!event.hasField(field)) {
        throw new IllegalArgumentException(event + " has no field " + field);
      }
      return text.append(",\"").append(field.text()).append("\":");
    }

    private void appendEscaped(String value) {
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
