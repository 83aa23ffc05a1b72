package org.teaseltrail.runtime.process;

import java.io.PrintStream;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/**
 * Writes the lines about a process that its program can't write: it has not started, or it has
 * failed. Each line is written before the method returns, since the process may end at once.
 */
final class ProcessLog implements Thread.UncaughtExceptionHandler {

  private final ComponentLogger logger = new ComponentLogger("process");
  private final PrintStream out;
  private final String program;
  private volatile String vm = "";

  ProcessLog(PrintStream out, String program) {
    this.out = out;
    this.program = program;
  }

  /** Sets the VM's name, which is known once the settings have been read. */
  void vm(String name) {
    vm = name;
  }

  /** Reports that the process was stopped before its program had started. */
  void stoppedBeforeStart() {
    try (EventLog log = open()) {
      log.line(LogEvent.STOP).write();
    }
  }

  /** Reports that the process ends since its start has failed. */
  void startFailed(ExitCode exitCode, Throwable failure) {
    try (EventLog log = open()) {
      log.line(LogEvent.START_FAILED)
          .with(LogField.EXIT_CODE, exitCode.code())
          .with(LogField.REASON, StartFailureText.of(failure))
          .write();
    }
  }

  @Override
  public void uncaughtException(Thread thread, Throwable failure) {
    logger.error("Thread " + thread.getName() + " ended by an uncaught exception.", failure);
    try (EventLog log = open()) {
      log.line(LogEvent.THREAD_FAILED)
          .with(LogField.THREAD, thread.getName())
          .with(LogField.REASON, StartFailureText.of(failure))
          .write();
    }
  }

  private EventLog open() {
    return new EventLog(out, program, vm);
  }
}
