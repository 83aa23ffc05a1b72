import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.regex.*;

/**
 * A small deployment on loopback addresses: starts the programs of deploy/system.toml as separate
 * processes with rendered settings files, and plays the platform and the operator. Every machine
 * has a loopback address of its own; ports are the same on all of them.
 */
final class Deployment implements AutoCloseable {
  static final String ENTRY = "teaseltrail-entry";
  static final String CONTROL = "teaseltrail-control";

  final Path folder;
  final Record record;
  final String net;
  final int controlPort;
  final int frontPort;
  final int readyPort;
  final int internalPort;
  final int coreCount;
  final int frontCount;
  final Map<String, Process> processes = new ConcurrentHashMap<>();
  private final List<Process> others = new CopyOnWriteArrayList<>();
  private final List<Thread> beats = new CopyOnWriteArrayList<>();
  private volatile boolean closed;
  int graceS = 8;

  Deployment(Record record, int coreCount, int frontCount) throws Exception {
    this.record = record;
    this.coreCount = coreCount;
    this.frontCount = frontCount;
    folder = Files.createTempDirectory("review-2-");
    Random random = new Random();
    net = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
    int base = 0;
    for (int tries = 0; tries < 200 && base == 0; tries++) {
      int first = 12000 + random.nextInt(18000);
      if (areFree(first, 20)) {
        base = first;
      }
    }
    if (base == 0) {
      throw new IOException("no free ports");
    }
    controlPort = base;
    frontPort = base + 1;
    readyPort = base + 2;
    internalPort = base + 4;
    Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
  }

  private boolean areFree(int first, int count) {
    for (int machine = 1; machine <= coreCount + frontCount; machine++) {
      for (int port = first; port < first + count; port++) {
        try (ServerSocket probe = new ServerSocket()) {
          probe.bind(new InetSocketAddress(net + machine, port));
        } catch (IOException e) {
          return false;
        }
      }
    }
    return true;
  }

  String coreIp(int number) {
    return net + (1 + number);
  }

  String frontIp(int number) {
    return net + (1 + coreCount + number);
  }

  String coreName(int number) {
    return "core-a-" + (number + 1);
  }

  String frontName(int number) {
    return "front-a-" + (number + 1);
  }

  void startAll() throws Exception {
    for (int i = 0; i < coreCount; i++) {
      startCore(i, true);
    }
    for (int i = 0; i < frontCount; i++) {
      startFront(i);
    }
  }

  void startCore(int number, boolean first) throws Exception {
    Map<String, Object> fields = fields(coreName(number), coreIp(number), CONTROL, first);
    fields.put("listen", Map.of("control", coreIp(number) + ":" + controlPort));
    fields.put("dataDir", dataDir(number).toString());
    start(CONTROL, coreName(number), fields);
  }

  Path dataDir(int number) {
    return folder.resolve("data-" + coreName(number));
  }

  void startFront(int number) throws Exception {
    Map<String, Object> fields = fields(frontName(number), frontIp(number), ENTRY, true);
    fields.put(
        "listen",
        Map.of(
            "front",
            frontIp(number) + ":" + frontPort,
            "ready",
            frontIp(number) + ":" + readyPort));
    start(ENTRY, frontName(number), fields);
  }

  private Map<String, Object> fields(String name, String ip, String role, boolean bootstrap) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("nodeName", name);
    fields.put("ip", ip);
    fields.put("role", role);
    fields.put("zone", "zone-a");
    fields.put("region", "region-a");
    fields.put("internalPorts", internalPort + "," + (internalPort + 15));
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < Math.min(3, coreCount); i++) {
      seeds.add(coreIp(i) + ":" + controlPort);
    }
    fields.put("seeds", String.join(",", seeds));
    fields.put("bootstrap", String.valueOf(bootstrap));
    fields.put("faultTolerance", Map.of("machines", coreCount >= 5 ? "2" : "1"));
    // The bounds of the small deployments in the users' pages.
    Map<String, String> bounds = new LinkedHashMap<>();
    bounds.put("graceS", String.valueOf(graceS));
    bounds.put("revokeMs", "5000");
    bounds.put("passMs", "120");
    bounds.put("retryBudgetRatio", "0.2");
    bounds.put("budgetWindowS", "10");
    bounds.put("budgetSlack", "52");
    bounds.put("quotaWindowS", "8");
    bounds.put("quotaOver", "0.1");
    bounds.put("quotaSlack", "140000");
    fields.put("bounds", bounds);
    return fields;
  }

  private void start(String role, String name, Map<String, Object> fields) throws Exception {
    String system = Files.readString(Path.of("deploy/system.toml"));
    Matcher section = Pattern.compile("(?s)\\[roles\\." + role + "\\](.*?)(\\n\\[|\\z)").matcher(system);
    if (!section.find()) {
      throw new IOException("role " + role + " is not in deploy/system.toml");
    }
    String run = value(section.group(1), "run");
    String template = Files.readString(Path.of(value(section.group(1), "template")));
    Path settings = folder.resolve(name + "-settings");
    Files.writeString(settings, Template.render(template, fields));
    ProcessBuilder builder = new ProcessBuilder(run.trim().split(" +"));
    Map<String, String> env = builder.environment();
    env.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    env.put("TEASELTRAIL_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    processes.put(name, builder.start());
  }

  private static String value(String section, String key) {
    Matcher line = Pattern.compile("(?m)^" + key + " *= *\"(.*)\"").matcher(section);
    if (!line.find()) {
      throw new IllegalStateException(key + " is missing in deploy/system.toml");
    }
    return line.group(1);
  }

  /** Sends a signal to a process that this deployment started. */
  void signal(String name, String signal) throws Exception {
    signal(processes.get(name), signal);
  }

  static void signal(Process process, String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
  }

  /** Kills a process and waits until it has ended. */
  void killNow(String name) throws Exception {
    Process process = processes.get(name);
    process.destroyForcibly();
    process.waitFor();
  }

  String log(String name) throws IOException {
    Path file = folder.resolve(name + ".log");
    return Files.exists(file) ? Files.readString(file) : "";
  }

  /** Starts a stand-in of this folder as a process of its own. */
  Process standIn(String mainClass, String... args) throws Exception {
    List<String> command = new ArrayList<>();
    command.add("java");
    command.add("-Xmx96m");
    command.add("-XX:TieredStopAtLevel=1");
    command.add("-cp");
    command.add("target/review-2");
    command.add(mainClass);
    command.addAll(List.of(args));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve("standin.log").toFile()));
    Process started = builder.start();
    others.add(started);
    return started;
  }

  // -- the operator --

  /** Sends one call as the operator does: follows redirects, goes on to other members. */
  Http.Answer control(String method, String path, String body, long withinMs) throws Exception {
    long end = System.nanoTime() + withinMs * 1_000_000L;
    int member = ThreadLocalRandom.current().nextInt(coreCount);
    Http.Answer last = null;
    while (System.nanoTime() < end) {
      String at = coreIp(member % coreCount) + ":" + controlPort;
      for (int hop = 0; hop < 3 && at != null; hop++) {
        last = Http.call(at, method, path, body, 1000);
        at = null;
        if (last != null && last.status == 307) {
          URI to = URI.create(last.header("location"));
          at = to.getHost() + ":" + to.getPort();
        }
      }
      if (last != null && last.status < 500 && last.status != 307 && last.status != 429) {
        return last;
      }
      member++;
      Thread.sleep(100);
    }
    return last;
  }

  void installPlan(String plan) throws Exception {
    Http.Answer answer = control("PUT", "/v1/config", plan, 30_000);
    if (answer == null || answer.status != 200) {
      throw new IOException("the configuration was not accepted: " + answer);
    }
  }

  /** Waits until a front machine says that it is ready. */
  void awaitReady(int front) throws Exception {
    long end = System.nanoTime() + 30_000_000_000L;
    while (System.nanoTime() < end) {
      Http.Answer answer =
          Http.call(frontIp(front) + ":" + readyPort, "GET", "/v1/ready", null, 500);
      if (answer != null && answer.status == 200) {
        return;
      }
      Thread.sleep(50);
    }
    throw new IOException("front machine " + front + " did not become ready");
  }

  /** Registers a server and goes on with its heartbeats until the deployment ends. */
  Beats register(String id, String service, String address, int slots) throws Exception {
    return register(id, service, address, slots, "v1");
  }

  Beats register(String id, String service, String address, int slots, String version)
      throws Exception {
    Beats beat = new Beats(id, service, address, slots, version);
    if (!beat.send("ready")) {
      throw new IOException("the heartbeat of " + id + " was not acknowledged");
    }
    Thread thread = new Thread(beat, "beats-" + id);
    thread.setDaemon(true);
    thread.start();
    beats.add(thread);
    return beat;
  }

  final class Beats implements Runnable {
    private final String id;
    private final String service;
    private final String address;
    private final int slots;
    private final String version;
    volatile boolean silent;
    volatile String state = "ready";
    private long sequence;

    Beats(String id, String service, String address, int slots, String version) {
      this.version = version;
      this.id = id;
      this.service = service;
      this.address = address;
      this.slots = slots;
    }

    synchronized boolean send(String newState) throws Exception {
      state = newState;
      sequence++;
      String body =
          ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-a\",\"version\":\"%s\","
                  + "\"slots\":%d,\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":%d}")
              .formatted(service, address, version, slots, state, sequence);
      Http.Answer answer = control("PUT", "/v1/instances/" + id, body, 10_000);
      return answer != null && answer.status == 200;
    }

    @Override
    public void run() {
      try {
        while (!closed) {
          Thread.sleep(1200);
          if (!silent) {
            send(state);
          }
        }
      } catch (Exception e) {
        // The deployment ends.
      }
    }
  }

  // -- the end --

  private void kill() {
    closed = true;
    processes.values().forEach(Process::destroyForcibly);
    others.forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws Exception {
    kill();
    for (Process process : processes.values()) {
      process.waitFor();
    }
    for (Process process : others) {
      process.waitFor();
    }
    if (System.getenv("KEEP") != null) {
      System.err.println("kept: " + folder);
      return;
    }
    try (var files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
