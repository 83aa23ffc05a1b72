package org.teaseltrail.cli.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Is one line of a program's log.
 *
 * @param time when it was written, by its VM's clock
 * @param vm the VM that wrote it
 * @param event what has happened
 * @param fields the whole line
 */
record LogLine(Instant time, String vm, String event, JsonNode fields) {

  /** Returns a text of the line, if it has one of that name. */
  Optional<String> text(String field) {
    return Optional.ofNullable(fields.get(field)).map(JsonNode::asText);
  }

  /** Returns a number of the line, if it has one of that name. */
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

  /** Returns the same line with its time on another clock. */
  LogLine later(Duration by) {
    return new LogLine(time.plus(by), vm, event, fields);
  }
}
