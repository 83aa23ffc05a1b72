package org.teaseltrail.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FolderFailureLoggerTest {

  private static final long RETRY_NS = TimeUnit.MILLISECONDS.toNanos(500);

  private final List<String> lines = new ArrayList<>();
  private final List<Throwable> causes = new ArrayList<>();
  private final FolderFailureLogger logger =
      new FolderFailureLogger(
          (sentence, cause) -> {
            lines.add(sentence);
            causes.add(cause);
          });

  /** Guards against a log that a damaged folder fills with the same exception twice a second. */
  @Test
  void logsSameCauseOnceAndThenEachMinute() {
    Exception damaged = new IllegalStateException("segment 7: damaged");
    for (int attempt = 0; attempt < 240; attempt++) {
      logger.failed(damaged, attempt * RETRY_NS);
    }
    assertThat(lines).hasSize(2);
    assertThat(causes).containsExactly(damaged, null);
    assertThat(lines.get(1)).contains("120 more attempts").contains("segment 7: damaged");
  }

  @Test
  void logsEachNewCause() {
    logger.failed(new IllegalStateException("disk full"), 0);
    logger.failed(new IllegalStateException("damaged"), RETRY_NS);
    assertThat(causes).hasSize(2).doesNotContainNull();
  }
}
