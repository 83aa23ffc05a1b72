package org.teaseltrail.load.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Writes results as CSV with one line for each request. */
final class ResultsCsv {

  private static final String HEADER =
      "index,at_ns,tier,customer,kind,outcome,reason,request_id,first_token_ns,end_ns,faults";

  private final List<CallResult> results;

  ResultsCsv(List<CallResult> results) {
    this.results = List.copyOf(results);
  }

  void write(Path file) throws IOException {
    List<String> lines = new ArrayList<>();
    lines.add(HEADER);
    results.forEach(r -> lines.add(line(r)));
    Files.write(file, lines);
  }

  private static String line(CallResult r) {
    List<Object> cells =
        List.of(
            r.planned().index(),
            r.planned().atNs(),
            r.planned().tier().rank(),
            r.planned().customer(),
            r.planned().kind().name(),
            r.outcome().name().toLowerCase(Locale.ROOT),
            r.reason(),
            r.requestId().orElse(""),
            r.firstTokenNs().isPresent() ? r.firstTokenNs().getAsLong() : "",
            r.endNs(),
            String.join(" ", r.faults().stream().map(Enum::name).sorted().toList()));
    return String.join(",", cells.stream().map(Object::toString).toList());
  }
}
