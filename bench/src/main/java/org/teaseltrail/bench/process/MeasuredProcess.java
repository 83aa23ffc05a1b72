package org.teaseltrail.bench.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Child process that runs one program of the system; closing it terminates the process. */
final class MeasuredProcess implements AutoCloseable {

  private static final long STOP_TIMEOUT_S = 10;

  private final Process process;

  /** Starts the program and redirects its output to a file. */
  MeasuredProcess(LaunchCommand line, Path output) throws IOException {
    process =
        new ProcessBuilder(line.words())
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
  }

  /** Returns the current resource counters of the process. */
  ProcessCounters readCounters() throws IOException {
    return ProcessCounters.of(process.pid());
  }

  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
