package org.teaseltrail.runtime.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.teaseltrail.runtime.log.EventLog;

@Timeout(30)
class StartSequenceTest {

  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 8229);

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final EventLog log = new EventLog(out, "teaseltrail-control", "core");
  private final List<Long> pauses = new ArrayList<>();
  private final PortBinder binder = new PortBinder(Optional.of(log), pauses::add);
  private int attempts;

  /** Binds after a number of failures. */
  private Callable<String> listener(int failures) {
    return () -> {
      attempts++;
      if (attempts <= failures) {
        throw new IllegalStateException("wrapped", new BindException("Address already in use"));
      }
      return "listens";
    };
  }

  private List<String> lines() {
    log.close();
    return out.toString(StandardCharsets.UTF_8).lines().toList();
  }

  /** Guards against a start that fails because the process before holds the port a while longer. */
  @Test
  void retriesAddressAndReportsFirstFailureAndSuccess() throws ProgramException {
    assertThat(binder.bind(ADDRESS, listener(3))).isEqualTo("listens");

    assertThat(pauses).hasSize(3);
    List<String> lines = lines();
    assertThat(lines).hasSize(2);
    assertThat(lines.get(0))
        .contains("\"event\":\"listen_delayed\",\"address\":\"127.0.0.1:8229\"")
        .contains("\"reason\":\"Address already in use\"");
    assertThat(lines.get(1))
        .contains("\"event\":\"listen_regained\",\"address\":\"127.0.0.1:8229\"")
        .contains("\"elapsed_ms\":" + 3 * PortBinder.RETRY_MS);
  }

  /** Guards against a process that waits for ever for an address that it never gets. */
  @Test
  void givesUpAfterBoundOverAllAddresses() throws ProgramException {
    binder.bind(ADDRESS, listener(10));

    assertThatThrownBy(() -> binder.bind(ADDRESS, listener(Integer.MAX_VALUE)))
        .isInstanceOfSatisfying(
            ProgramException.class, e -> assertThat(e.exitCode()).isEqualTo(ExitCode.LISTEN))
        .hasMessage("can't listen on 127.0.0.1:8229: Address already in use");
    assertThat(pauses.stream().mapToLong(Long::longValue).sum()).isEqualTo(PortBinder.MAX_WAIT_MS);
    assertThat(lines().get(3)).contains("\"event\":\"listen_failed\"");
  }

  /** Guards against retries of a failure that has nothing to do with the address. */
  @Test
  void doesNotRetryOtherFailures() {
    Callable<String> broken =
        () -> {
          throw new IllegalArgumentException("broken");
        };

    assertThatThrownBy(() -> binder.bind(ADDRESS, broken)).isInstanceOf(ProgramException.class);
    assertThat(pauses).isEmpty();
  }

  /** Guards against a stop that waits until the address is free or given up. */
  @Test
  void interruptedThreadCancelsStart() {
    Thread.currentThread().interrupt();

    try {
      assertThatThrownBy(() -> StartPause.await(60_000))
          .isInstanceOf(StartCancelledException.class);
    } finally {
      assertThat(Thread.interrupted()).isTrue();
    }
  }

  /** Guards against parts that run on because another one could not be closed. */
  @Test
  void closesAllPartsThoughOneFails() {
    List<String> closed = new ArrayList<>();
    Thread.currentThread().interrupt();
    try (StartSequence failing = new StartSequence(Optional.empty())) {
      failing.onFailure(() -> closed.add("interrupted: " + Thread.currentThread().isInterrupted()));
      failing.onFailure(
          () -> {
            throw new IllegalStateException("can't be closed");
          });
    }

    assertThat(Thread.interrupted()).isTrue();
    assertThat(closed).containsExactly("interrupted: false");
  }

  /** Guards against parts of a failed start that run on. */
  @Test
  void closesWhatItOpenedUnlessStartCompletes() throws ProgramException {
    List<String> closed = new ArrayList<>();
    try (StartSequence failing = new StartSequence(Optional.empty())) {
      failing.onFailure(() -> closed.add("first"));
      failing.listen(ADDRESS, () -> "second", closed::add);
    }
    assertThat(closed).containsExactly("second", "first");

    try (StartSequence succeeding = new StartSequence(Optional.empty())) {
      succeeding.listen(ADDRESS, () -> "third", closed::add);
      succeeding.complete();
    }
    assertThat(closed).containsExactly("second", "first");
  }
}
