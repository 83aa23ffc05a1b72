package org.teaseltrail.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/** Tests that lines are valid JSON and that a stalled reader doesn't block callers. */
@Timeout(30)
class EventLogTest {

  /** Escaped tab followed by the end of the JSON string. */
  private static final String ESCAPED_TAB = "\\" + "u0009\"";

  @Test
  void writesOneObjectPerLine() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    EventLog log = new EventLog(out, "program", "vm-1");
    log.line(LogEvent.REQUEST_REFUSED)
        .with(LogField.REASON, "say \"no\"\t")
        .with(LogField.WAITED_MS, 7)
        .write();
    log.close();
    assertThat(out.toString())
        .contains("\"event\":\"request_refused\"")
        .contains("\"reason\":\"say \\\"no\\\"" + ESCAPED_TAB)
        .contains("\"waited_ms\":7")
        .endsWith("}\n")
        .hasLineCount(1);
  }

  /**
   * The process that reads the log through a pipe stops reading. Without a bounded queue, the pipe
   * fills up and requests block on the log.
   */
  @Test
  void stalledReaderDoesNotBlockCallers() {
    CountDownLatch reads = new CountDownLatch(1);
    EventLog log = new EventLog(new StalledOutputStream(reads), "program", "vm-1");
    for (int i = 0; i < 10_000; i++) {
      log.line(LogEvent.REQUEST_REFUSED).write();
    }
    assertThat(log.droppedLines()).isGreaterThan(5_000);
    reads.countDown();
    log.close();
  }

  /** Output stream that blocks writes until the latch is released. */
  private static final class StalledOutputStream extends OutputStream {

    private final CountDownLatch reads;

    StalledOutputStream(CountDownLatch reads) {
      this.reads = reads;
    }

    @Override
    public void write(int next) throws IOException {
      try {
        reads.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }
}
