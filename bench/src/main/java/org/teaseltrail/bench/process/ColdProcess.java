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
 * Measures what an entry VM's process costs from its cold start on, in the load of one VM of a
 * large deployment: a plan and sixty upstreams at the start, idle seconds, a handful of requests a
 * second with streams of fifty events, upstreams that come, plans that change.
 *
 * <p>Prints a table by phase and kind of thread; runs some forty seconds. Started in the root of a
 * built checkout, whose deploy file says how programs run.
 */
public final class ColdProcess {

  private static final System.Logger LOGGER = System.getLogger(ColdProcess.class.getName());

  private static final long HEARTBEAT_EVERY_MS = 1_200;
  private static final String CONTROL_ROLE = "teaseltrail-control";
  private static final String ENTRY_ROLE = "teaseltrail-entry";
  private static final Duration EVENT_PAUSE = Duration.ofMillis(18);
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
   * Runs the measure.
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
    RunLine control = RunLine.of(deploy, CONTROL_ROLE);
    RunLine entry = RunLine.of(deploy, ENTRY_ROLE).withOptions(jvmOptions());
    try (LoopbackDeployment site =
            new LoopbackDeployment(
                folder, options.getInt("upstreams"), options.getInt("events"), EVENT_PAUSE);
        MeasuredProgram member =
            new MeasuredProgram(
                control.withArguments("--settings", site.writeControlSettings().toString()),
                folder.resolve("core.log"))) {
      site.installPlan(1, ROUTES);
      heartbeats.scheduleWithFixedDelay(
          () -> register(site), 0, HEARTBEAT_EVERY_MS, TimeUnit.MILLISECONDS);
      String settings = site.writeEntrySettings().toString();
      RunLine started = entry.withArguments("--settings", settings);
      try (MeasuredProgram vm = new MeasuredProgram(started, folder.resolve("front.log"))) {
        live(site, vm);
      }
      // A start of its own: to write the log costs more than the idle program.
      RunLine logged = started.withOptions(List.of(ClassOrigins.option(classLog)));
      try (MeasuredProgram vm = new MeasuredProgram(logged, folder.resolve("classes.out"))) {
        site.awaitReady();
      }
    } finally {
      heartbeats.shutdownNow();
    }
    ProcessReport report = new ProcessReport(phases, ClassOrigins.of(classLog));
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

  private void live(LoopbackDeployment site, MeasuredProgram vm) throws Exception {
    site.awaitReady();
    phases.add(new Phase("start to ready", 1, vm.reading().since(ProcessReading.START)));
    settle();
    int idleS = options.getInt("idle_s");
    phase("idle second", idleS, vm, () -> sleep(idleS * MS_PER_S));
    int requests = options.getInt("requests");
    phase("request", requests, vm, () -> load(site, requests));
    phase("request, later", requests, vm, () -> load(site, requests));
    phase("plan changed", PLAN_CHANGES, vm, () -> changePlans(site));
    phase("idle second, later", idleS, vm, () -> sleep(idleS * MS_PER_S));
  }

  private void phase(String name, int units, MeasuredProgram vm, Callable<Void> action)
      throws Exception {
    ProcessReading before = vm.reading();
    action.call();
    phases.add(new Phase(name, units, vm.reading().since(before)));
  }

  private Void load(LoopbackDeployment site, int requests)
      throws InterruptedException, ExecutionException {
    long gapMs = MS_PER_S / options.getInt("per_second");
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    try {
      List<Future<Integer>> answers = new ArrayList<>();
      for (int i = 0; i < requests; i++) {
        answers.add(callers.submit(site::sendRequest));
        sleep(gapMs);
      }
      for (Future<Integer> answer : answers) {
        requireServed(answer.get());
      }
    } finally {
      callers.shutdown();
    }
    return null;
  }

  private static void requireServed(int status) {
    if (status >= 300) {
      throw new IllegalStateException("a request got status " + status);
    }
  }

  /** Upstreams whose heartbeats fail are registered with the next ones. */
  private static void register(LoopbackDeployment site) {
    try {
      site.sendHeartbeats();
    } catch (IOException e) {
      LOGGER.log(System.Logger.Level.WARNING, "[process] no heartbeat", e);
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
