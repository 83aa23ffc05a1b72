package org.teaseltrail.cli.explain;

import java.io.BufferedReader;
import java.io.IOException;

/** Explains from log lines what happened to a request. */
public final class RequestExplainer {

  private final LogLineStore logLines = new LogLineStore();

  /**
   * Adds the log lines of one or more processes.
   *
   * @param reader the lines; those of one process in the order in which it wrote them
   * @throws IOException if they can't be read
   */
  public void readLog(BufferedReader reader) throws IOException {
    logLines.read(reader);
  }

  /**
   * Describes the course and the outcome of a request.
   *
   * @param request the id that the caller gave the request
   * @return the description, in lines that end with a line break
   */
  public String explain(String request) {
    String description =
        new RequestTimelineFormatter(new RequestTimeline(request, logLines.lines())).format();
    String unreadable = "lines that could not be read: " + logLines.unreadableLines() + "\n";
    return logLines.unreadableLines() == 0 ? description : description + unreadable;
  }

  /**
   * Returns whether any line is about a request.
   *
   * @param request the id that the caller gave the request
   * @return false if the logs contain no line about the request
   */
  public boolean hasLinesAbout(String request) {
    return logLines.lines().stream().anyMatch(line -> line.isAbout(request));
  }
}
