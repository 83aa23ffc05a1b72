package org.teaseltrail.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.platform.LoopbackDeployment;

/**
 * Measures the resource usage of an entry VM's process from its cold start, under the load of one
 * VM of a large deployment: a plan and sixty upstreams at the start, idle periods, a few requests
 * per second with streams of fifty events, new upstreams, and plan changes.
 *
 * <p>Prints a table by phase and kind of thread; a run takes about forty seconds. Must be started
 * in the root directory of a built checkout, whose deploy file holds the commands of the programs.
 */
public final class ColdProcess {

  private static final System.Logger LOGGER = System.getLogger(ColdProcess.class.getName());

  private static final long HEARTBEAT_EVERY_MS = 1_200;
  private static final String CONTROL_ROLE = "teaseltrail-control";
  private static final String ENTRY_ROLE = "teaseltrail-entry";
  private static final Duration EVENT_INTERVAL = Duration.ofMillis(18);
  private static final int ROUTES = 40;
  private static final int CALLERS = 32;
  private static final int PLAN_CHANGES = 4;
  private static final long SETTLE_MS = 400;
  private static final int MS_PER_S = 1_000;

  private final Namespace options;
  private final List<Phase> phases = new ArrayList<>();
  private final ScheduledExecutorService heartbeats = Executors.newSingleThreadScheduledExecutor();

  private ColdProcess(Namespace options) {
    this.options = options;
  }

  /**
   * Runs the measurement.
   *
   * @param args see {@code --help}
   * @throws Exception if a program can't be run
   */
  public static void main(String[] args) throws Exception {
    ArgumentParser parser = ArgumentParsers.newFor("cold-process").build();
    parser.addArgument("--deploy").setDefault("deploy/system.toml").help("the deploy file");
    parser.addArgument("--upstreams").type(Integer.class).setDefault(60);
    parser.addArgument("--events").type(Integer.class).setDefault(50).help("events of an answer");
    parser.addArgument("--requests").type(Integer.class).setDefault(100);
    parser.addArgument("--per-second").type(Integer.class).setDefault(8).help("requests a second");
    parser.addArgument("--idle-s").type(Integer.class).setDefault(5).help("idle seconds");
    parser.addArgument("--jvm").setDefault("").help("more options of the JVM, split at spaces");
    parser.addArgument("--json").help("file for the figures");
    try {
      ProcessReport report = new ColdProcess(parser.parseArgs(args)).measure();
      System.out.println(report.table());
    } catch (ArgumentParserException e) {
      parser.handleError(e);
    }
  }

  private ProcessReport measure() throws Exception {
    Path folder = Files.createTempDirectory("teaseltrail-cold");
    Path deploy = Path.of(options.getString("deploy"));
    Path classLog = folder.resolve("classes.log");
    LaunchCommand control = LaunchCommand.of(deploy, CONTROL_ROLE);
    LaunchCommand entry = LaunchCommand.of(deploy, ENTRY_ROLE).withOptions(jvmOptions());
    try (LoopbackDeployment site =
            new LoopbackDeployment(
                folder, options.getInt("upstreams"), options.getInt("events"), EVENT_INTERVAL);
        MeasuredProcess member =
            new MeasuredProcess(
                control.withArguments("--settings", site.writeControlSettings().toString()),
                folder.resolve("core.log"))) {
      site.installPlan(1, ROUTES);
      heartbeats.scheduleWithFixedDelay(
          () -> register(site), 0, HEARTBEAT_EVERY_MS, TimeUnit.MILLISECONDS);
      String settings = site.writeEntrySettings().toString();
      LaunchCommand entryCommand = entry.withArguments("--settings", settings);
      try (MeasuredProcess vm = new MeasuredProcess(entryCommand, folder.resolve("front.log"))) {
        measurePhases(site, vm);
      }
      // Uses a separate process, as writing the class log costs more than the idle program.
      LaunchCommand classLogCommand =
          entryCommand.withOptions(List.of(ClassSourceCounts.option(classLog)));
      try (MeasuredProcess vm =
          new MeasuredProcess(classLogCommand, folder.resolve("classes.out"))) {
        site.awaitReady();
      }
    } finally {
      heartbeats.shutdownNow();
    }
    ProcessReport report = new ProcessReport(phases, ClassSourceCounts.of(classLog));
    if (options.getString("json") != null) {
      report.writeJson(Path.of(options.getString("json")));
    }
    return report;
  }

  private List<String> jvmOptions() {
    return Arrays.stream(options.getString("jvm").split(" "))
        .filter(option -> !option.isEmpty())
        .toList();
  }

  private void measurePhases(LoopbackDeployment site, MeasuredProcess vm) throws Exception {
    site.awaitReady();
    phases.add(new Phase("start to ready", 1, vm.readCounters().since(ProcessCounters.START)));
    settle();
    int idleS = options.getInt("idle_s");
    phase("idle second", idleS, vm, () -> sleep(idleS * MS_PER_S));
    int requests = options.getInt("requests");
    phase("request", requests, vm, () -> load(site, requests));
    phase("request, later", requests, vm, () -> load(site, requests));
    phase("plan changed", PLAN_CHANGES, vm, () -> changePlans(site));
    phase("idle second, later", idleS, vm, () -> sleep(idleS * MS_PER_S));
  }

  private void phase(String name, int units, MeasuredProcess vm, Callable<Void> action)
      throws Exception {
    ProcessCounters before = vm.readCounters();
    action.call();
    phases.add(new Phase(name, units, vm.readCounters().since(before)));
  }

  private Void load(LoopbackDeployment site, int requests)
      throws InterruptedException, ExecutionException {
    long intervalMs = MS_PER_S / options.getInt("per_second");
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    try {
      List<Future<Integer>> answers = new ArrayList<>();
      for (int i = 0; i < requests; i++) {
        answers.add(callers.submit(site::sendRequest));
        sleep(intervalMs);
      }
      for (Future<Integer> answer : answers) {
        requireSuccess(answer.get());
      }
    } finally {
      callers.shutdown();
    }
    return null;
  }

  private static void requireSuccess(int status) {
    if (status >= 300) {
      throw new IllegalStateException("request failed with HTTP status " + status);
    }
  }

  /**
   * Sends the upstreams' heartbeats. After a failure, the next heartbeats register the upstreams.
   */
  private static void register(LoopbackDeployment site) {
    try {
      site.sendHeartbeats();
    } catch (IOException e) {
      LOGGER.log(System.Logger.Level.WARNING, "[process] heartbeat of the upstreams failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Void changePlans(LoopbackDeployment site)
      throws IOException, InterruptedException {
    for (int i = 0; i < PLAN_CHANGES; i++) {
      site.installPlan(i + 2, ROUTES + i);
    }
    return settle();
  }

  private static Void settle() throws InterruptedException {
    return sleep(SETTLE_MS);
  }

  private static Void sleep(long ms) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(ms);
    return null;
  }
}
