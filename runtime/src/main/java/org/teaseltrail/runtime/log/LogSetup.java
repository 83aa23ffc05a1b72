package org.teaseltrail.runtime.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.LoggerFactory;

/**
 * Configures Logback. All lines go to standard error, so that they don't mix with a program's own
 * output. Logback's service loader applies the initial configuration, text with severity info,
 * before the first line; a program calls {@link #configure(LogFormat, LogLevel)} after it has read
 * its settings.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {

  private static final String PROJECT_LOGGER = "org.teaseltrail";
  private static final String NETTY_LOGGER = "reactor.netty";

  /** Creates the configurator for Logback's service loader. */
  public LogSetup() {}

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    apply(context, LogFormat.TEXT, LogLevel.INFO);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  /**
   * Sets the format and the minimum severity.
   *
   * @param format the format of log lines
   * @param level the minimum severity of the project's own lines; lines of libraries need at least
   *     warn
   */
  public static void configure(LogFormat format, LogLevel level) {
    apply((LoggerContext) LoggerFactory.getILoggerFactory(), format, level);
  }

  private static void apply(LoggerContext context, LogFormat format, LogLevel level) {
    context.reset();
    var encoder = format.encoder(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder);
    appender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(appender);
    // Reactor Netty logs a warning with a stack trace for each connection that a peer drops; the
    // programs log the relevant ones themselves.
    context.getLogger(NETTY_LOGGER).setLevel(Level.ERROR);
    context.getLogger(PROJECT_LOGGER).setLevel(level.level());
  }
}
