package org.teaseltrail.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FailureTextTest {

  /** Guards against a log line that quotes a key or a prompt out of an exception's message. */
  @Test
  void namesExceptionsAndCallsWithoutMessages() {
    Throwable failure =
        new IllegalStateException("key k-1", new IllegalArgumentException("prompt p"));

    assertThat(FailureText.of(failure))
        .startsWith("java.lang.IllegalStateException at FailureTextTest.namesExceptions")
        .contains("; caused by java.lang.IllegalArgumentException at ")
        .doesNotContain("k-1", "prompt");
  }

  /** Guards against a line without a bound. */
  @Test
  void textIsBounded() {
    Throwable failure = new IllegalStateException();
    for (int i = 0; i < 100; i++) {
      failure = new IllegalStateException(failure);
    }

    assertThat(FailureText.of(failure)).hasSizeLessThanOrEqualTo(1_000);
  }
}
