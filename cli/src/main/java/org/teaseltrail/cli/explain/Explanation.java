package org.teaseltrail.cli.explain;

import java.io.BufferedReader;
import java.io.IOException;

/** Reads logs and tells a request's story. */
public final class Explanation {

  private final LogBook book = new LogBook();

  /**
   * Takes log lines of one or more processes.
   *
   * @param reader the lines; those of one process in the order in which it wrote them
   * @throws IOException if they can't be read
   */
  public void read(BufferedReader reader) throws IOException {
    book.read(reader);
  }

  /**
   * Tells a request's story.
   *
   * @param request the id that its caller gave it
   * @return the story, in lines that end with a line break
   */
  public String tell(String request) {
    String story = new StoryText(new Story(request, book.lines())).write();
    String unreadable = "lines that could not be read: " + book.unreadable() + "\n";
    return book.unreadable() == 0 ? story : story + unreadable;
  }

  /**
   * Tells whether any line is about a request.
   *
   * @param request the id that its caller gave it
   * @return false if the logs say nothing of it
   */
  public boolean knows(String request) {
    return book.lines().stream().anyMatch(line -> line.isAbout(request));
  }
}
