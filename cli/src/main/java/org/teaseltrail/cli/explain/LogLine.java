package org.teaseltrail.cli.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Parsed line of a program's event log.
 *
 * @param time the time when it was written, by its VM's clock
 * @param vm the VM that wrote it
 * @param event the name of the event
 * @param fields all fields of the line
 */
record LogLine(Instant time, String vm, String event, JsonNode fields) {

  /** Returns the text of a field, if the line has it. */
  Optional<String> text(String field) {
    return Optional.ofNullable(fields.get(field)).map(JsonNode::asText);
  }

  /** Returns the number in a field, if the line has it as a number. */
  OptionalLong number(String field) {
    JsonNode node = fields.get(field);
    return node == null || !node.isNumber() ? OptionalLong.empty() : OptionalLong.of(node.asLong());
  }

  boolean isAbout(String request) {
    return text("request").filter(request::equals).isPresent();
  }

  boolean isFrom(String program) {
    return text("program").filter(program::equals).isPresent();
  }

  /** Returns the same line with its time shifted. */
  LogLine shiftedBy(Duration offset) {
    return new LogLine(time.plus(offset), vm, event, fields);
  }
}
