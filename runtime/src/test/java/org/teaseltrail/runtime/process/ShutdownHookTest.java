package org.teaseltrail.runtime.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ShutdownHookTest {

  /** Guards against a process that can't be stopped, as its start is retried for ever. */
  @Test
  @Timeout(10)
  void shutdownDoesNotWaitForEverForStart() {
    try (ShutdownHook hook = new ShutdownHook(new ProcessLog(System.out, "sample"))) {
      assertThat(hook.awaitStart(10)).isEmpty();
    }
  }
}
