package org.teaseltrail.runtime.process;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.runtime.log.LogSettings;
import org.teaseltrail.runtime.log.LogSetup;
import org.teaseltrail.runtime.settings.InvalidSettingsException;
import org.teaseltrail.runtime.settings.Settings;
import org.teaseltrail.runtime.settings.SettingsReader;

/**
 * Entry point of a daemon: parses the command line, validates the settings, starts the program and
 * waits until it terminates.
 *
 * <p>Example: {@code public static void main(String[] args) { ProgramMain.main(new EntryProgram(),
 * args); }}
 */
public final class ProgramMain {

  private static final String SETTINGS = "settings";
  private static final String CHECK_SETTINGS = "check_settings";
  private static final String PRINT_SETTINGS = "print_settings";

  private final ComponentLogger logger = new ComponentLogger("process");
  private final Program program;
  private final PrintStream out;
  private final PrintStream err;
  private final ProcessLog processLog;

  /**
   * Creates the runner of a program.
   *
   * @param program the program
   * @param out the stream for output
   * @param err the stream for error messages
   */
  public ProgramMain(Program program, PrintStream out, PrintStream err) {
    this.program = program;
    this.out = out;
    this.err = err;
    this.processLog = new ProcessLog(out, program.spec().program());
  }

  /**
   * Runs a program and exits the process with its exit code.
   *
   * @param program the program
   * @param args the command line
   */
  public static void main(Program program, String[] args) {
    ProgramMain main = new ProgramMain(program, System.out, System.err);
    Thread.setDefaultUncaughtExceptionHandler(main.processLog);
    System.exit(main.run(args).code());
  }

  /**
   * Runs the program until it terminates. A start that fails for any reason leaves one line in the
   * event log.
   *
   * @param args the command line
   * @return its exit code
   */
  public ExitCode run(String... args) {
    try (ShutdownHook hook = new ShutdownHook(processLog);
        ReloadSignalHandler reload = new ReloadSignalHandler()) {
      return run(hook, reload, args);
    }
  }

  private ExitCode run(ShutdownHook hook, ReloadSignalHandler reload, String... args) {
    ArgumentParser parser = parser();
    try {
      return execute(parser.parseArgs(args), hook, reload);
    } catch (HelpScreenException e) {
      return ExitCode.OK;
    } catch (ArgumentParserException e) {
      parser.handleError(e, new PrintWriter(err, true, StandardCharsets.UTF_8));
      return failed(ExitCode.USAGE, e);
    } catch (InvalidSettingsException e) {
      err.println(e.getMessage());
      return failed(ExitCode.SETTINGS, e);
    } catch (StartCancelledException e) {
      logger.info("Stopped during the start.");
      return e.exitCode();
    } catch (ProgramException e) {
      err.println(program.spec().program() + ": " + e.getMessage());
      return failed(e.exitCode(), e);
    } catch (Throwable e) {
      // Nothing may leave main without ending the process: other threads could run on.
      if (hook.hasStarted()) {
        processLog.uncaughtException(Thread.currentThread(), e);
        return ExitCode.INTERNAL;
      }
      logger.error("The start failed.", e);
      return failed(ExitCode.INTERNAL, e);
    }
  }

  private ExitCode failed(ExitCode exitCode, Throwable failure) {
    processLog.startFailed(exitCode, failure);
    return exitCode;
  }

  private ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor(program.spec().program())
            // Detecting the terminal width would start another process each time a daemon starts.
            .terminalWidthDetection(false)
            .build()
            .defaultHelp(true)
            .description(program.spec().summary())
            .version(program.spec().program() + " " + version());
    parser.addArgument("--settings").metavar("FILE").help("the settings file");
    parser
        .addArgument("--check-settings")
        .action(Arguments.storeTrue())
        .help("check the settings file, tell all that is wrong with it, and end");
    parser
        .addArgument("--print-settings")
        .type(Arguments.caseInsensitiveEnumType(SettingsPrint.class))
        .help("print all settings with their defaults, as an example file or a table, and end");
    parser.addArgument("--version").action(Arguments.version()).help("show the version and end");
    program.addArguments(parser);
    return parser;
  }

  private String version() {
    String version = program.getClass().getPackage().getImplementationVersion();
    return version == null ? "(development build)" : version;
  }

  private ExitCode execute(Namespace arguments, ShutdownHook hook, ReloadSignalHandler reload)
      throws InvalidSettingsException, ProgramException {
    SettingsPrint print = arguments.get(PRINT_SETTINGS);
    if (print != null) {
      out.print(print.text(program.spec()));
      return ExitCode.OK;
    }
    String file = arguments.getString(SETTINGS);
    if (file == null) {
      throw new ProgramException(ExitCode.USAGE, "--settings FILE is needed; see --help");
    }
    if (arguments.getBoolean(CHECK_SETTINGS)) {
      return checkSettings(file);
    }
    Settings settings = new SettingsReader(program.spec()).read(Path.of(file));
    processLog.vm(program.vm(settings));
    LogSetup.configure(settings.get(LogSettings.FORMAT), settings.get(LogSettings.LEVEL));
    return serve(settings, Path.of(file), arguments, hook, reload);
  }

  private ExitCode checkSettings(String file) {
    try {
      new SettingsReader(program.spec()).read(Path.of(file));
      out.println(file + ": settings are right");
      return ExitCode.OK;
    } catch (InvalidSettingsException e) {
      err.println(e.getMessage());
      return ExitCode.SETTINGS;
    }
  }

  private ExitCode serve(
      Settings settings,
      Path file,
      Namespace arguments,
      ShutdownHook hook,
      ReloadSignalHandler reload)
      throws ProgramException {
    try (RunningProgram running = program.start(settings, arguments)) {
      hook.onStarted(running);
      reload.setAction(() -> reload(running, file));
      logger.info("Started.");
      return running.terminationFuture().join();
    } catch (CompletionException e) {
      logger.error("Stopped by an internal error.", e.getCause());
      return ExitCode.INTERNAL;
    }
  }

  /**
   * Reloads the settings file. If it is invalid, the problems are logged and the current settings
   * stay in force.
   */
  private void reload(RunningProgram running, Path file) {
    try {
      running.reload(new SettingsReader(program.spec()).read(file));
      logger.info("Reloaded the settings.");
    } catch (InvalidSettingsException e) {
      logger.error("Reloading the settings failed; the current settings stay in force.", e);
    }
  }
}
