package org.teaseltrail.runtime.log;

import java.util.List;
import org.teaseltrail.runtime.settings.Setting;
import org.teaseltrail.runtime.settings.ValueKinds;

/** Logging settings, which every program has. */
public final class LogSettings {

  /** Format of the log lines. */
  public static final Setting<LogFormat> FORMAT =
      Setting.withDefault(
          "log",
          "format",
          ValueKinds.choice(LogFormat.class),
          "text",
          "How log lines are written.");

  /** Minimum severity of the lines that are written. */
  public static final Setting<LogLevel> LEVEL =
      Setting.withDefault(
          "log",
          "level",
          ValueKinds.choice(LogLevel.class),
          "info",
          "Least severity that is written. Decision lines are of severity info.");

  /** All logging settings, in the order of the example file. */
  public static final List<Setting<?>> ALL = List.of(FORMAT, LEVEL);

  private LogSettings() {}
}
