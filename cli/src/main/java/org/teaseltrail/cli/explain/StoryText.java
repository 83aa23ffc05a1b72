package org.teaseltrail.cli.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Formats a request's timeline and diagnosis as text. */
final class StoryText {

  /** Fields that are omitted, because the heading or the start of the output line shows them. */
  private static final Set<String> OMITTED_FIELDS =
      Set.of("time", "program", "vm", "event", "request");

  private final Story story;
  private final StringBuilder text = new StringBuilder();

  StoryText(Story story) {
    this.story = story;
  }

  String write() {
    text.append("request ").append(story.request()).append('\n');
    story.arrived().ifPresent(at -> text.append("  read whole at ").append(at).append('\n'));
    story.own().forEach(this::appendLine);
    if (!story.context().isEmpty()) {
      text.append("at that time\n");
      story.context().forEach(this::appendLine);
    }
    appendCounts();
    Cause cause = Cause.of(story);
    text.append("what became of it: ").append(cause.sentence()).append('\n');
    text.append("where to look next: ").append(cause.lookNext()).append('\n');
    return text.toString();
  }

  private void appendLine(LogLine line) {
    text.append("  ").append(line.time()).append(' ').append(line.vm());
    text.append(' ').append(line.event()).append(formatFields(line)).append('\n');
  }

  private static String formatFields(LogLine line) {
    return line.fields().properties().stream()
        .filter(field -> !OMITTED_FIELDS.contains(field.getKey()))
        .map(StoryText::formatField)
        .collect(Collectors.joining());
  }

  private static String formatField(Map.Entry<String, JsonNode> field) {
    return " " + field.getKey() + "=" + field.getValue().asText();
  }

  private void appendCounts() {
    Optional<String> reason = story.end().flatMap(line -> line.text("reason"));
    if (reason.isPresent()) {
      long here = story.refusedMeanwhile(reason.get(), true);
      long elsewhere = story.refusedMeanwhile(reason.get(), false);
      text.append("others refused for ").append(reason.get()).append(" at that time: ");
      text.append(here).append(" at this VM, ").append(elsewhere).append(" at others\n");
    }
    long failed = story.failedMeanwhileAtItsUpstream();
    if (failed > 0) {
      text.append("other attempts that failed at its upstream: ").append(failed).append('\n');
    }
  }
}
