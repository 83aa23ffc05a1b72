package org.teaseltrail.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Numbers of loaded classes of a process by their source, taken from the JVM's class loading log.
 *
 * @param archived classes from the CDS archive
 * @param made classes generated at run time: lambdas, method handles, proxies
 * @param other classes read from the jar or from the JDK's files
 */
record ClassSourceCounts(long archived, long made, long other) {

  /** Returns the JVM option that enables the class loading log. */
  static String option(Path file) {
    return "-Xlog:class+load:file=" + file;
  }

  static ClassSourceCounts of(Path file) throws IOException {
    List<String> lines =
        Files.readAllLines(file).stream().filter(line -> line.contains(" source: ")).toList();
    long archived = lines.stream().filter(line -> line.contains("shared objects file")).count();
    long fromFiles =
        lines.stream().filter(line -> line.contains("jrt:/") || line.contains("file:")).count();
    return new ClassSourceCounts(archived, lines.size() - archived - fromFiles, fromFiles);
  }
}
