package org.teaseltrail.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class DecisionLogTest {

  @Test
  void writesOneLineWithPrefixAndPairs() {
    Logger logger = (Logger) LoggerFactory.getLogger("org.teaseltrail.schedule");
    ListAppender<ILoggingEvent> lines = new ListAppender<>();
    lines.start();
    logger.addAppender(lines);

    new DecisionLog(new ComponentLogger("schedule"))
        .line("grant")
        .with("request", "r-1")
        .with("customer", "a \"b\"\nc")
        .with("upstream", Optional.empty())
        .reason("waited_ms=3 shed\nlines")
        .write();

    assertThat(lines.list)
        .extracting(ILoggingEvent::getFormattedMessage)
        .containsExactly(
            "[schedule] decision=grant request=r-1 customer=\"a ?b??c\" waited_ms=3 shed?lines");
  }
}
