package org.teaseltrail.runtime.log;

import java.util.Optional;

/**
 * Logs scheduling decisions, one line each, as machine-readable key=value pairs.
 *
 * <p>Example: {@code log.line("grant").with("request", id).with("upstream", name).write()} writes
 * {@code [schedule] decision=grant request=r-1 upstream=tutor-llm-3}.
 */
public final class DecisionLog {

  private final ComponentLogger logger;

  /**
   * Creates the decision log of a component.
   *
   * @param logger the component's logger
   */
  public DecisionLog(ComponentLogger logger) {
    this.logger = logger;
  }

  /**
   * Starts a line.
   *
   * @param decision the kind of decision, in lower case
   * @return a builder for the line
   */
  public Line line(String decision) {
    return new Line(decision);
  }

  /** Builder for one line. */
  public final class Line {

    private final StringBuilder text = new StringBuilder();

    private Line(String decision) {
      text.append("decision=").append(decision);
    }

    /**
     * Adds a key=value pair.
     *
     * @param key the key in lower case
     * @param value the value; quoted if it contains white space, so that it is parsed as one value
     * @return this line
     */
    public Line with(String key, Object value) {
      String formatted = String.valueOf(value);
      boolean plain = formatted.chars().noneMatch(c -> c <= ' ' || c == '"');
      text.append(' ').append(key).append('=');
      text.append(plain ? formatted : "\"" + formatted.replaceAll("[\"\\p{Cntrl}]", "?") + "\"");
      return this;
    }

    /**
     * Adds a key=value pair if the value is present.
     *
     * @param key the key in lower case
     * @param value the value, or empty to add nothing
     * @return this line
     */
    public Line with(String key, Optional<?> value) {
      value.ifPresent(present -> with(key, present));
      return this;
    }

    /**
     * Adds a reason that is already formatted as key=value pairs.
     *
     * @param pairs the pairs; control characters are replaced, so that the output stays one line
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
