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

/** Writes lines and holds nobody up. */
@Timeout(30)
class EventLogTest {

  /** Is a tab as JSON writes it, and the end of the text. */
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

  /** An engineer pauses the pipe that reads the log; requests must not wait for it. */
  @Test
  void readerThatStopsHoldsNobodyUp() {
    CountDownLatch reads = new CountDownLatch(1);
    EventLog log = new EventLog(new StoppedReader(reads), "program", "vm-1");
    for (int i = 0; i < 10_000; i++) {
      log.line(LogEvent.REQUEST_REFUSED).write();
    }
    assertThat(log.droppedInAll()).isGreaterThan(5_000);
    reads.countDown();
    log.close();
  }

  /** Takes nothing until it is told to. */
  private static final class StoppedReader extends OutputStream {

    private final CountDownLatch reads;

    StoppedReader(CountDownLatch reads) {
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
