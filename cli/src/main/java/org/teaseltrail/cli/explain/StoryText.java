package org.teaseltrail.cli.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Writes a request's story for people. */
final class StoryText {

  /** Fields that each line has or that the heading tells. */
  private static final Set<String> TOLD_ANYWAY =
      Set.of("time", "program", "vm", "event", "request");

  private final Story story;
  private final StringBuilder text = new StringBuilder();

  StoryText(Story story) {
    this.story = story;
  }

  String write() {
    text.append("request ").append(story.request()).append('\n');
    story.arrived().ifPresent(at -> text.append("  read whole at ").append(at).append('\n'));
    story.own().forEach(this::line);
    if (!story.context().isEmpty()) {
      text.append("at that time\n");
      story.context().forEach(this::line);
    }
    counts();
    Cause cause = Cause.of(story);
    text.append("what became of it: ").append(cause.sentence()).append('\n');
    text.append("where to look next: ").append(cause.lookNext()).append('\n');
    return text.toString();
  }

  private void line(LogLine line) {
    text.append("  ").append(line.time()).append(' ').append(line.vm());
    text.append(' ').append(line.event()).append(fields(line)).append('\n');
  }

  private static String fields(LogLine line) {
    return line.fields().properties().stream()
        .filter(field -> !TOLD_ANYWAY.contains(field.getKey()))
        .map(StoryText::field)
        .collect(Collectors.joining());
  }

  private static String field(Map.Entry<String, JsonNode> field) {
    return " " + field.getKey() + "=" + field.getValue().asText();
  }

  private void counts() {
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
