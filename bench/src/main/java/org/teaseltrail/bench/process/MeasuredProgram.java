package org.teaseltrail.bench.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Is one program of the system, started as a process and ended with it. */
final class MeasuredProgram implements AutoCloseable {

  private static final long END_WAIT_S = 10;

  private final Process process;

  /** Starts the program; what it prints goes to a file. */
  MeasuredProgram(RunLine line, Path output) throws IOException {
    process =
        new ProcessBuilder(line.words())
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
  }

  /** Returns what the process has used until now. */
  ProcessReading reading() throws IOException {
    return ProcessReading.of(process.pid());
  }

  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(END_WAIT_S, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
