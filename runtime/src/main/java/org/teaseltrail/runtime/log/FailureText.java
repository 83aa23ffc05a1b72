package org.teaseltrail.runtime.log;

import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * Describes an exception in one bounded text for a log line: its type and innermost calls, and
 * those of its causes. Messages are left out, since they may quote a key, a prompt or a body.
 */
public final class FailureText {

  private static final int MAX_CAUSES = 3;
  private static final int MAX_CALLS = 6;
  private static final int MAX_LENGTH = 1_000;

  private FailureText() {}

  /**
   * Returns the text.
   *
   * @param failure the exception
   * @return the text, of a bounded length
   */
  public static String of(Throwable failure) {
    StringBuilder text = new StringBuilder();
    Throwable current = failure;
    for (int causes = 0; current != null && causes < MAX_CAUSES; causes++) {
      text.append(text.isEmpty() ? "" : "; caused by ").append(describe(current));
      current = current.getCause();
    }
    return text.substring(0, Math.min(MAX_LENGTH, text.length()));
  }

  private static String describe(Throwable failure) {
    String calls =
        Arrays.stream(failure.getStackTrace())
            .limit(MAX_CALLS)
            .map(FailureText::describe)
            .collect(Collectors.joining(", "));
    return failure.getClass().getName() + (calls.isEmpty() ? "" : " at " + calls);
  }

  private static String describe(StackTraceElement call) {
    String className = call.getClassName().substring(call.getClassName().lastIndexOf('.') + 1);
    return className + "." + call.getMethodName() + ":" + call.getLineNumber();
  }
}
