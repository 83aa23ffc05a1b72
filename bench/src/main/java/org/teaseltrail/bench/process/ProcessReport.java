package org.teaseltrail.bench.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * Results of a run.
 *
 * @param phases phases of the run, in order
 * @param classes numbers of loaded classes by source
 */
record ProcessReport(List<Phase> phases, ClassSourceCounts classes) {

  private static final double KB_PER_MB = 1_024;

  void writeJson(Path file) throws IOException {
    new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(file.toFile(), this);
  }

  /** Returns the results as a Markdown table. */
  String table() {
    StringBuilder text = new StringBuilder("| phase | units | ms a unit | in all, ms |");
    for (ThreadKind kind : ThreadKind.values()) {
      text.append(' ').append(kind.name().toLowerCase(Locale.ROOT)).append(" |");
    }
    text.append(" wake-ups a unit | reads and writes a unit | peak MB |\n");
    text.append("|---|---|---|---|");
    text.append("---|".repeat(ThreadKind.values().length + 3)).append('\n');
    phases.forEach(phase -> row(text, phase));
    text.append(
        String.format(
            Locale.ROOT,
            "%nclasses: %d from the archive, %d made at run time, %d from files%n",
            classes.archived(),
            classes.made(),
            classes.other()));
    return text.toString();
  }

  private static void row(StringBuilder text, Phase phase) {
    ProcessUsage used = phase.used();
    text.append(
        String.format(
            Locale.ROOT,
            "| %s | %d | %.2f | %.0f |",
            phase.name(),
            phase.units(),
            phase.perUnitMs(),
            used.processorMs()));
    for (ThreadKind kind : ThreadKind.values()) {
      text.append(String.format(Locale.ROOT, " %.0f |", used.byKind().getOrDefault(kind, 0.0)));
    }
    text.append(
        String.format(
            Locale.ROOT,
            " %.1f | %.1f | %.1f |%n",
            (double) used.wakeups() / phase.units(),
            (double) used.calls() / phase.units(),
            used.peakMemoryKb() / KB_PER_MB));
  }
}
