package org.teaseltrail.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Parsed log lines of several processes; those of one VM are in the order in which it wrote them.
 */
final class LogLineStore {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final List<LogLine> lines = new ArrayList<>();
  private int unreadableLines;

  /**
   * Parses lines and adds them. Text before the first brace of a line is ignored, because a log
   * collector may prepend the source's name. Lines without a brace are not event log lines and are
   * skipped.
   *
   * @param reader the lines
   * @throws IOException if they can't be read
   */
  void read(BufferedReader reader) throws IOException {
    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
      int brace = text.indexOf('{');
      if (brace >= 0) {
        Optional<LogLine> line = parse(text.substring(brace));
        line.ifPresent(lines::add);
        unreadableLines += line.isPresent() ? 0 : 1;
      }
    }
  }

  private static Optional<LogLine> parse(String json) {
    try {
      JsonNode node = JSON.readTree(json);
      boolean complete =
          node.hasNonNull("time") && node.hasNonNull("vm") && node.hasNonNull("event");
      if (!complete) {
        return Optional.empty();
      }
      Instant time = Instant.parse(node.get("time").asText());
      return Optional.of(
          new LogLine(time, node.get("vm").asText(), node.get("event").asText(), node));
    } catch (JsonProcessingException | DateTimeException e) {
      // The caller counts the line, and the count is reported: a line may be truncated where a
      // process was killed.
      return Optional.empty();
    }
  }

  List<LogLine> lines() {
    return List.copyOf(lines);
  }

  /** Returns the number of lines that contain a brace but could not be parsed. */
  int unreadableLines() {
    return unreadableLines;
  }
}
