package org.teaseltrail.runtime.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.encoder.Encoder;

/** Says how log lines are written. */
public enum LogFormat {
  /** One line of text each. */
  TEXT {
    @Override
    Encoder<ILoggingEvent> encoder(LoggerContext context) {
      PatternLayoutEncoder encoder = new PatternLayoutEncoder();
      encoder.setContext(context);
      encoder.setPattern(PATTERN);
      return encoder;
    }
  },
  /** One JSON object a line, in Logback's own shape. */
  JSON {
    @Override
    Encoder<ILoggingEvent> encoder(LoggerContext context) {
      JsonEncoder encoder = new JsonEncoder();
      encoder.setContext(context);
      encoder.setWithFormattedMessage(true);
      encoder.setWithMessage(false);
      encoder.setWithContext(false);
      return encoder;
    }
  };

  private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX, UTC} %-5level %msg%n";

  abstract Encoder<ILoggingEvent> encoder(LoggerContext context);
}
