package org.teaseltrail.runtime.log;

import java.lang.System.Logger.Level;
import java.util.function.Supplier;

/**
 * Logger of one component of a program; prefixes each line with the component's name.
 *
 * <p>Example: {@code new ComponentLogger("entry").info("Listening on " + address + ".")} writes
 * {@code [entry] Listening on 127.0.0.1:8080.}
 */
public final class ComponentLogger {

  private static final String NAME_PREFIX = "org.teaseltrail.";

  private final String name;
  private final String prefix;
  private volatile System.Logger logger;

  /**
   * Creates the logger of a component.
   *
   * @param part the component's name in lower case, such as {@code entry}
   */
  public ComponentLogger(String part) {
    this.name = NAME_PREFIX + part;
    this.prefix = "[" + part + "] ";
  }

  /**
   * Logs a failure that needs an operator's attention.
   *
   * @param sentence one short sentence; must not contain a prompt, body or secret
   * @param cause the exception to log
   */
  public void error(String sentence, Throwable cause) {
    logger().log(Level.ERROR, prefix + sentence, cause);
  }

  /**
   * Logs a failure that needs an operator's attention.
   *
   * @param sentence one short sentence; must not contain a prompt, body or secret
   */
  public void error(String sentence) {
    logger().log(Level.ERROR, prefix + sentence);
  }

  /**
   * Logs a problem that may turn into a failure.
   *
   * @param sentence one short sentence; must not contain a prompt, body or secret
   * @param cause the exception to log
   */
  public void warn(String sentence, Throwable cause) {
    logger().log(Level.WARNING, prefix + sentence, cause);
  }

  /**
   * Logs a problem that may turn into a failure.
   *
   * @param sentence one short sentence; must not contain a prompt, body or secret
   */
  public void warn(String sentence) {
    logger().log(Level.WARNING, prefix + sentence);
  }

  /**
   * Logs a decision or a state change.
   *
   * @param sentence one short sentence; must not contain a prompt, body or secret
   */
  public void info(String sentence) {
    logger().log(Level.INFO, prefix + sentence);
  }

  /**
   * Logs a detail if the debug level is enabled.
   *
   * @param sentence supplies one short sentence, which must not contain a prompt, body or secret
   */
  public void debug(Supplier<String> sentence) {
    logger().log(Level.DEBUG, () -> prefix + sentence.get());
  }

  /** Returns the logger; the first use loads the logging library, which takes a while. */
  private System.Logger logger() {
    if (logger == null) {
      logger = System.getLogger(name);
    }
    return logger;
  }
}
