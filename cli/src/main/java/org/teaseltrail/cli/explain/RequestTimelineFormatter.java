package org.teaseltrail.cli.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Formats a request's timeline and diagnosis as text. */
final class RequestTimelineFormatter {

  /** Fields that are omitted, because the heading or the start of the output line shows them. */
  private static final Set<String> OMITTED_FIELDS =
      Set.of("time", "program", "vm", "event", "request");

  private final RequestTimeline story;
  private final StringBuilder text = new StringBuilder();

  RequestTimelineFormatter(RequestTimeline story) {
    this.story = story;
  }

  String format() {
    text.append("request ").append(story.request()).append('\n');
    story.arrivalTime().ifPresent(at -> text.append("  read whole at ").append(at).append('\n'));
    story.ownLines().forEach(this::appendLine);
    if (!story.relatedLines().isEmpty()) {
      text.append("at that time\n");
      story.relatedLines().forEach(this::appendLine);
    }
    appendCounts();
    RequestDiagnosis cause = RequestDiagnosis.of(story);
    text.append("what became of it: ").append(cause.summary()).append('\n');
    text.append("where to look next: ").append(cause.nextStep()).append('\n');
    return text.toString();
  }

  private void appendLine(LogLine line) {
    text.append("  ").append(line.time()).append(' ').append(line.vm());
    text.append(' ').append(line.event()).append(formatFields(line)).append('\n');
  }

  private static String formatFields(LogLine line) {
    return line.fields().properties().stream()
        .filter(field -> !OMITTED_FIELDS.contains(field.getKey()))
        .map(RequestTimelineFormatter::formatField)
        .collect(Collectors.joining());
  }

  private static String formatField(Map.Entry<String, JsonNode> field) {
    return " " + field.getKey() + "=" + field.getValue().asText();
  }

  private void appendCounts() {
    Optional<String> reason = story.end().flatMap(line -> line.text("reason"));
    if (reason.isPresent()) {
      long here = story.countConcurrentRefusals(reason.get(), true);
      long elsewhere = story.countConcurrentRefusals(reason.get(), false);
      text.append("others refused for ").append(reason.get()).append(" at that time: ");
      text.append(here).append(" at this VM, ").append(elsewhere).append(" at others\n");
    }
    long failed = story.countConcurrentUpstreamFailures();
    if (failed > 0) {
      text.append("other attempts that failed at its upstream: ").append(failed).append('\n');
    }
  }
}
