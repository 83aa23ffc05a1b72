package org.teaseltrail.runtime.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ShutdownHookTest {

  private static final Duration START_TIME = Duration.ofSeconds(2);

  /** Guards against a process that can't be stopped, as its start is retried for ever. */
  @Test
  @Timeout(10)
  void shutdownDoesNotWaitForEverForStart() {
    try (ShutdownHook hook = new ShutdownHook(new ProcessLog(System.out, "sample"))) {
      assertThat(hook.awaitStart(10)).isEmpty();
    }
  }

  /** Guards against a grace period that is counted from the end of the start, not the signal. */
  @Test
  void timeThatStartTookAfterSignalCountsTowardsGrace() {
    LateProgram program = new LateProgram();
    ShutdownHook.stop(program, System.nanoTime() - START_TIME.toNanos());
    assertThat(program.sinceSignal).isGreaterThanOrEqualTo(START_TIME);
  }

  private static final class LateProgram implements RunningProgram {

    private Duration sinceSignal = Duration.ZERO;

    @Override
    public CompletableFuture<ExitCode> terminationFuture() {
      return new CompletableFuture<>();
    }

    @Override
    public void close() {
      close(Duration.ZERO);
    }

    @Override
    public void close(Duration elapsed) {
      sinceSignal = elapsed;
    }
  }
}
