package org.teaseltrail.runtime.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.encoder.Encoder;

/** Format of log lines. */
public enum LogFormat {
  /** Plain text, one line per event. */
  TEXT {
    @Override
    Encoder<ILoggingEvent> encoder(LoggerContext context) {
      PatternLayoutEncoder encoder = new PatternLayoutEncoder();
      encoder.setContext(context);
      encoder.setPattern(PATTERN);
      return encoder;
    }
  },
  /** One JSON object per line, in Logback's format. */
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
