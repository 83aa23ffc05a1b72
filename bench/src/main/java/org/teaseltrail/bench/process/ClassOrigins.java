package org.teaseltrail.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Counts where the classes of a process came from, by the JVM's own log of loaded classes.
 *
 * @param archived from the archive
 * @param made made while the program ran: lambdas, method handles, proxies
 * @param other read from the jar or the JDK's files
 */
record ClassOrigins(long archived, long made, long other) {

  /** Returns the option by which a JVM writes the log. */
  static String option(Path file) {
    return "-Xlog:class+load:file=" + file;
  }

  static ClassOrigins of(Path file) throws IOException {
    List<String> lines =
        Files.readAllLines(file).stream().filter(line -> line.contains(" source: ")).toList();
    long archived = lines.stream().filter(line -> line.contains("shared objects file")).count();
    long fromFiles =
        lines.stream().filter(line -> line.contains("jrt:/") || line.contains("file:")).count();
    return new ClassOrigins(archived, lines.size() - archived - fromFiles, fromFiles);
  }
}
