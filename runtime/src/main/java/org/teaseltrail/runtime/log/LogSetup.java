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
 * Sets up the log back end: all lines go to standard error, so that a program's own output stays
 * clean. Logback calls it as a service before the first line, with text and severity info; a
 * program calls it again once its settings are read.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {

  private static final String OWN_PACKAGE = "org.teaseltrail";
  private static final String CONNECTIONS = "reactor.netty";

  /** Makes the set-up for Logback's service loader. */
  public LogSetup() {}

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    apply(context, LogFormat.TEXT, LogLevel.INFO);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  /**
   * Sets the format and the least severity.
   *
   * @param format how lines are written
   * @param level the least severity of the system's own lines; those of libraries start at warn
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
    // It warns, with a stack trace, of each connection that a peer drops; the programs tell of
    // those
    // that matter in lines of their own.
    context.getLogger(CONNECTIONS).setLevel(Level.ERROR);
    context.getLogger(OWN_PACKAGE).setLevel(level.level());
  }
}
