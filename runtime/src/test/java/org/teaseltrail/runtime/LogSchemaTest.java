package org.teaseltrail.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/**
 * Checks that log lines follow the schema and that the documentation lists each event and field.
 */
class LogSchemaTest {

  private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");

  @ParameterizedTest
  @EnumSource(LogEvent.class)
  void lineTakesTheFieldsOfItsEventAndNoOthers(LogEvent event) {
    try (EventLog log = new EventLog(OutputStream.nullOutputStream(), "program", "vm")) {
      EventLog.Line line = log.line(event);
      for (LogField field : LogField.values()) {
        if (event.hasField(field)) {
          line.with(field, 1);
        } else {
          assertThatIllegalArgumentException().isThrownBy(() -> line.with(field, 1));
        }
      }
    }
  }

  @ParameterizedTest
  @EnumSource(LogEvent.class)
  void pageListsEachEvent(LogEvent event) throws IOException {
    assertThat(Files.readString(PAGE)).contains("`" + event.text() + "`");
  }

  @ParameterizedTest
  @EnumSource(LogField.class)
  void pageListsEachFieldWithItsMeaning(LogField field) throws IOException {
    assertThat(Files.readString(PAGE))
        .contains("| `" + field.text() + "` | " + field.meaning() + " |");
  }
}
