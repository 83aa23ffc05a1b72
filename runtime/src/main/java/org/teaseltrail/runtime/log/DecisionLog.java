package org.teaseltrail.runtime.log;

import java.util.Optional;

/**
 * Writes one line for each decision, as key=value pairs that tools can read.
 *
 * <p>Example: {@code log.line("grant").with("request", id).with("upstream", name).write()} writes
 * {@code [schedule] decision=grant request=r-1 upstream=tutor-llm-3}.
 */
public final class DecisionLog {

  private final PartLogger logger;

  /**
   * Makes the decision log of a part.
   *
   * @param logger the part's logger
   */
  public DecisionLog(PartLogger logger) {
    this.logger = logger;
  }

  /**
   * Begins a line.
   *
   * @param decision what was decided, in lower case
   * @return the line, to be filled and written
   */
  public Line line(String decision) {
    return new Line(decision);
  }

  /** Is a line being filled. */
  public final class Line {

    private final StringBuilder text = new StringBuilder();

    private Line(String decision) {
      text.append("decision=").append(decision);
    }

    /**
     * Adds a pair.
     *
     * @param key the key in lower case
     * @param value the value; quoted if it holds white space, so that it stays one value
     * @return this line
     */
    public Line with(String key, Object value) {
      String written = String.valueOf(value);
      boolean plain = written.chars().noneMatch(c -> c <= ' ' || c == '"');
      text.append(' ').append(key).append('=');
      text.append(plain ? written : "\"" + written.replaceAll("[\"\\p{Cntrl}]", "?") + "\"");
      return this;
    }

    /**
     * Adds a pair if there is a value.
     *
     * @param key the key in lower case
     * @param value the value, if any
     * @return this line
     */
    public Line with(String key, Optional<?> value) {
      value.ifPresent(present -> with(key, present));
      return this;
    }

    /**
     * Adds a reason that already is a row of key=value pairs.
     *
     * @param pairs the pairs; control characters are cut, so that it stays one line
     * @return this line
     */
    public Line reason(String pairs) {
      text.append(' ').append(pairs.replaceAll("\\p{Cntrl}", "?"));
      return this;
    }

    /** Writes the line. */
    public void write() {
      logger.info(text.toString());
    }
  }
}
