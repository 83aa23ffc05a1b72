package org.teaseltrail.runtime.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import net.sourceforge.argparse4j.inf.Namespace;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.teaseltrail.runtime.settings.ExampleFilePrinter;
import org.teaseltrail.runtime.settings.SampleSettings;
import org.teaseltrail.runtime.settings.Settings;
import org.teaseltrail.runtime.settings.SettingsSpec;
import sun.misc.Signal;

class ProgramMainTest {

  @TempDir private Path folder;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final FakeProgram program = new FakeProgram();
  private String file;

  @BeforeEach
  void writeSettings() throws IOException {
    Path path = folder.resolve("sample.ini");
    Files.writeString(path, ExampleFilePrinter.print(SampleSettings.SPEC));
    file = path.toString();
  }

  @Test
  void runsUntilTheProgramEndsAndClosesIt() {
    program.ended.complete(ExitCode.DATA);

    assertThat(run("--settings", file)).isEqualTo(ExitCode.DATA);
    assertThat(program.closed).isTrue();
  }

  @Test
  void checksSettingsWithoutStarting() {
    assertThat(run("--settings", file, "--check-settings")).isEqualTo(ExitCode.OK);
    assertThat(run("--settings", "/nowhere")).isEqualTo(ExitCode.SETTINGS);
    assertThat(run("--nonsense")).isEqualTo(ExitCode.USAGE);
    assertThat(run()).isEqualTo(ExitCode.USAGE);
    assertThat(program.starts).isZero();
    assertThat(err.toString(StandardCharsets.UTF_8)).contains("/nowhere: file can't be read");
  }

  @Test
  void printsItsSettings() {
    assertThat(run("--print-settings", "example")).isEqualTo(ExitCode.OK);

    assertThat(out.toString(StandardCharsets.UTF_8))
        .isEqualTo(ExampleFilePrinter.print(SampleSettings.SPEC));
  }

  @Test
  void reportsWhyItCannotStart() {
    program.failure = new ProgramException(ExitCode.LISTEN, "address in use");

    assertThat(run("--settings", file)).isEqualTo(ExitCode.LISTEN);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains("sample: address in use");
  }

  /** Guards against a failed start of which the event log says nothing. */
  @Test
  void startThatFailsLeavesLineWithCause() {
    program.failure = new ProgramException(ExitCode.LISTEN, "can't listen on 127.0.0.1:1");

    assertThat(run("--settings", file)).isEqualTo(ExitCode.LISTEN);

    assertThat(out.toString(StandardCharsets.UTF_8))
        .contains("\"program\":\"sample\",\"vm\":\"vm-1\",\"event\":\"start_failed\"")
        .contains("\"exit_code\":5,\"reason\":\"can't listen on 127.0.0.1:1\"");
  }

  /** Guards against settings that keep a program from starting and leave no line in its log. */
  @Test
  void invalidSettingsLeaveLineWithCause() {
    assertThat(run("--settings", "/nowhere")).isEqualTo(ExitCode.SETTINGS);

    assertThat(out.toString(StandardCharsets.UTF_8))
        .contains("\"event\":\"start_failed\",\"exit_code\":3")
        .contains("/nowhere: file can't be read");
  }

  /** Guards against an exception that leaves main while other threads run on. */
  @Test
  void unexpectedErrorDuringStartEndsProgram() {
    program.duringStart =
        () -> {
          throw new LinkageError("no such class");
        };

    assertThat(run("--settings", file)).isEqualTo(ExitCode.INTERNAL);

    assertThat(out.toString(StandardCharsets.UTF_8))
        .contains("\"event\":\"start_failed\",\"exit_code\":1")
        .contains("no such class");
  }

  /** Guards against a start that was stopped and is reported as failed. */
  @Test
  void startThatIsCancelledIsNoFailure() {
    program.failure = new StartCancelledException();

    assertThat(run("--settings", file)).isEqualTo(ExitCode.OK);

    assertThat(out.toString(StandardCharsets.UTF_8)).doesNotContain("start_failed");
  }

  /** Guards against an error at the end that is reported as one of the start. */
  @Test
  void errorWhileClosingEndsProgram() {
    program.ended.complete(ExitCode.OK);
    program.duringClose =
        () -> {
          throw new IllegalStateException("can't close");
        };

    assertThat(run("--settings", file)).isEqualTo(ExitCode.INTERNAL);

    assertThat(out.toString(StandardCharsets.UTF_8))
        .contains("\"event\":\"thread_failed\"", "can't close");
  }

  /** Guards against a process that is stopped before its program runs and says nothing of it. */
  @Test
  void stopBeforeStartLeavesLine() {
    new ProcessLog(new PrintStream(out, true, StandardCharsets.UTF_8), "sample")
        .stoppedBeforeStart();

    assertThat(out.toString(StandardCharsets.UTF_8)).contains("\"event\":\"stop\"").hasLineCount(1);
  }

  /** Guards against a thread that ends without a line that names it and the cause. */
  @Test
  void uncaughtExceptionOfThreadLeavesLine() throws InterruptedException {
    Thread thread = new Thread(() -> Long.parseLong("x".repeat(5_000)), "worker");
    thread.setUncaughtExceptionHandler(
        new ProcessLog(new PrintStream(out, true, StandardCharsets.UTF_8), "sample"));
    thread.start();
    thread.join();

    assertThat(out.toString(StandardCharsets.UTF_8))
        .contains("\"event\":\"thread_failed\",\"thread\":\"worker\"")
        .contains("NumberFormatException")
        .hasSizeLessThan(1_000);
  }

  /** Guards against a process that ends when settings change in the first second of its life. */
  @Test
  @Timeout(10)
  void signalDuringStartReloadsSettingsAfterIt() {
    program.duringStart = () -> Signal.raise(new Signal("HUP"));
    program.onReload = () -> program.ended.complete(ExitCode.OK);

    assertThat(run("--settings", file)).isEqualTo(ExitCode.OK);
  }

  private ExitCode run(String... args) {
    PrintStream outStream = new PrintStream(out, true, StandardCharsets.UTF_8);
    PrintStream errStream = new PrintStream(err, true, StandardCharsets.UTF_8);
    return new ProgramMain(program, outStream, errStream).run(args);
  }

  private static final class FakeProgram implements Program, RunningProgram {

    private final CompletableFuture<ExitCode> ended = new CompletableFuture<>();
    private ProgramException failure;
    private Runnable duringStart = () -> {};
    private Runnable onReload = () -> {};
    private Runnable duringClose = () -> {};
    private int starts;
    private boolean closed;

    @Override
    public SettingsSpec spec() {
      return SampleSettings.SPEC;
    }

    @Override
    public String vm(Settings settings) {
      return "vm-1";
    }

    @Override
    public RunningProgram start(Settings settings, Namespace arguments) throws ProgramException {
      if (failure != null) {
        throw failure;
      }
      starts++;
      duringStart.run();
      return this;
    }

    @Override
    public void reload(Settings settings) {
      onReload.run();
    }

    @Override
    public CompletableFuture<ExitCode> terminationFuture() {
      return ended;
    }

    @Override
    public void close() {
      closed = true;
      duringClose.run();
    }
  }
}
