package org.teaseltrail.runtime.log;

import java.lang.System.Logger.Level;
import java.util.function.Supplier;

/**
 * Writes the log lines of one part of a program, each with the part's fixed prefix.
 *
 * <p>Example: {@code new PartLogger("entry").info("Listens on " + address + ".")} writes {@code
 * [entry] Listens on 127.0.0.1:8080.}
 */
public final class PartLogger {

  private static final String NAME_PREFIX = "org.teaseltrail.";

  private final System.Logger logger;
  private final String prefix;

  /**
   * Makes the logger of a part.
   *
   * @param part the part's name in lower case, such as {@code entry}
   */
  public PartLogger(String part) {
    this.logger = System.getLogger(NAME_PREFIX + part);
    this.prefix = "[" + part + "] ";
  }

  /**
   * Writes what an operator must know of.
   *
   * @param sentence one short sentence; no prompt, body or secret
   * @param cause what went wrong
   */
  public void error(String sentence, Throwable cause) {
    logger.log(Level.ERROR, prefix + sentence, cause);
  }

  /**
   * Writes what an operator must know of.
   *
   * @param sentence one short sentence; no prompt, body or secret
   */
  public void error(String sentence) {
    logger.log(Level.ERROR, prefix + sentence);
  }

  /**
   * Writes what may become a failure.
   *
   * @param sentence one short sentence; no prompt, body or secret
   * @param cause what went wrong
   */
  public void warn(String sentence, Throwable cause) {
    logger.log(Level.WARNING, prefix + sentence, cause);
  }

  /**
   * Writes what may become a failure.
   *
   * @param sentence one short sentence; no prompt, body or secret
   */
  public void warn(String sentence) {
    logger.log(Level.WARNING, prefix + sentence);
  }

  /**
   * Writes a decision or a change of state.
   *
   * @param sentence one short sentence; no prompt, body or secret
   */
  public void info(String sentence) {
    logger.log(Level.INFO, prefix + sentence);
  }

  /**
   * Writes a detail, if details are wanted.
   *
   * @param sentence makes one short sentence; no prompt, body or secret
   */
  public void debug(Supplier<String> sentence) {
    logger.log(Level.DEBUG, () -> prefix + sentence.get());
  }
}
