package org.teaseltrail.runtime.process;

/** Describes a failure in a bounded text for a log line. */
final class StartFailureText {

  private static final int MAX_CHARS = 500;

  private StartFailureText() {}

  /** Returns what failed and its root cause. */
  static String of(Throwable failure) {
    String what = failure instanceof ProgramException ? failure.getMessage() : failure.toString();
    Throwable cause = rootCause(failure);
    if (cause != failure && !what.contains(String.valueOf(cause.getMessage()))) {
      what += "; caused by " + cause;
    }
    return what.substring(0, Math.min(what.length(), MAX_CHARS));
  }

  private static Throwable rootCause(Throwable failure) {
    Throwable cause = failure;
    while (cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }
}
