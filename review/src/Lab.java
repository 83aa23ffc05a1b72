import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Starts the two programs of the deploy file as processes on loopback addresses, plays the platform
 * (settings files, restarts, signals) and keeps the record of a case. One address stands for one
 * machine; ports are the same on all machines.
 */
final class Lab implements AutoCloseable {

  /** One machine: an address, a role and the process that runs there. */
  static final class Machine {
    final String name;
    final String ip;
    final String role;
    final Path folder;
    volatile Process process;
    volatile boolean restarts = true;
    volatile boolean bootstrap = true;
    volatile int ownEnds;

    Machine(String name, String ip, String role, Path folder) {
      this.name = name;
      this.ip = ip;
      this.role = role;
      this.folder = folder;
    }

    long pid() {
      return process.pid();
    }
  }

  /** A response that was read, or why there is none. */
  static final class Answer {
    int status;
    String headers = "";
    byte[] body = {};
    boolean complete;
    String problem = "";

    String header(String name) {
      for (String line : headers.split("\r\n")) {
        int colon = line.indexOf(':');
        if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
          return line.substring(colon + 1).trim();
        }
      }
      return null;
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
      return (status == 0 ? "none" : String.valueOf(status))
          + (problem.isEmpty() ? "" : " (" + problem + ")");
    }
  }

  static final String NET = "127.93.";
  final Path root = Path.of("").toAbsolutePath();
  final Path folder;
  final int control;
  final int front;
  final int ready;
  final int internal;
  final List<Machine> machines = Collections.synchronizedList(new ArrayList<>());
  private final BufferedWriter record;
  private final long startNs = System.nanoTime();
  private final Map<String, Object> bounds = new LinkedHashMap<>();
  private final Thread keeper = new Thread(this::keep, "platform");
  private final Object lifecycle = new Object();
  private volatile boolean closed;
  volatile List<String> seeds = List.of();
  int toleratedLosses = 2;

  Lab(Path recordFile) throws IOException {
    record = Files.newBufferedWriter(recordFile);
    folder = Files.createTempDirectory("review");
    int first = freePorts();
    control = first;
    front = first + 1;
    ready = first + 2;
    internal = first + 3;
    bounds.put("quotaWindowS", 8);
    bounds.put("quotaOver", 0.1);
    bounds.put("quotaSlack", 140000);
    bounds.put("graceS", 8);
    bounds.put("revokeMs", 5000);
    bounds.put("passMs", 120);
    bounds.put("retryBudgetRatio", 0.2);
    bounds.put("budgetWindowS", 10);
    bounds.put("budgetSlack", 52);
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    keeper.setDaemon(true);
    keeper.start();
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  double seconds() {
    return (System.nanoTime() - startNs) / 1e9;
  }

  /** Writes a line of the record. */
  synchronized void note(String line) {
    try {
      String text = String.format("%8.3f %s", seconds(), line);
      System.out.println(text);
      record.write(text);
      record.newLine();
      record.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- machines ----

  Machine core(int number) throws IOException {
    return machine("core-" + number, NET + "1." + number, "teaseltrail-control");
  }

  Machine frontMachine(int number) throws IOException {
    return machine("front-" + number, NET + "2." + number, "teaseltrail-entry");
  }

  private Machine machine(String name, String ip, String role) throws IOException {
    Path own = Files.createDirectories(folder.resolve(name));
    Files.createDirectories(own.resolve("data"));
    Machine made = new Machine(name, ip, role, own);
    machines.add(made);
    return made;
  }

  void start(Machine machine) throws IOException {
    Path settings = machine.folder.resolve("settings.toml");
    boolean core = machine.role.equals("teaseltrail-control");
    String template = Files.readString(root.resolve(core ? "deploy/control.ini" : "deploy/entry.ini"));
    Files.writeString(settings, fill(template, machine));
    List<String> command = Arrays.asList(runOf(machine.role).split(" +"));
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    Map<String, String> kept = new LinkedHashMap<>();
    for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
      if (System.getenv(name) != null) {
        kept.put(name, System.getenv(name));
      }
    }
    builder.environment().clear();
    builder.environment().putAll(kept);
    builder.environment().put("TEASELTRAIL_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(machine.folder.resolve("log").toFile()));
    synchronized (lifecycle) {
      // After killAll nothing may start any more; it would be left behind.
      if (!closed) {
        machine.process = builder.start();
      }
    }
  }

  private String runOf(String role) throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    int at = deploy.indexOf("[roles." + role + "]");
    Matcher run = Pattern.compile("run = \"([^\"]*)\"").matcher(deploy);
    if (at < 0 || !run.find(at)) {
      throw new IOException("no command for " + role);
    }
    return run.group(1);
  }

  private String fill(String template, Machine machine) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("nodeName", machine.name);
    fields.put("ip", machine.ip);
    fields.put("region", "r");
    fields.put("zone", "z");
    fields.put("listen.control", machine.ip + ":" + control);
    fields.put("listen.front", machine.ip + ":" + front);
    fields.put("listen.ready", machine.ip + ":" + ready);
    fields.put("internalPorts", internal + "," + (internal + 15));
    fields.put("seeds", String.join(",", seeds));
    fields.put("bootstrap", String.valueOf(machine.bootstrap));
    fields.put("faultTolerance.machines", String.valueOf(toleratedLosses));
    fields.put("dataDir", machine.folder.resolve("data").toString());
    bounds.forEach((name, value) -> fields.put("bounds." + name, String.valueOf(value)));
    String text = template;
    Matcher section = Pattern.compile("\\{\\{#([^}]*)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL).matcher(text);
    StringBuilder filled = new StringBuilder();
    while (section.find()) {
      String value = fields.get(section.group(1));
      String inner = value == null ? "" : section.group(2).replace("{{.}}", value);
      section.appendReplacement(filled, Matcher.quoteReplacement(inner));
    }
    section.appendTail(filled);
    text = filled.toString();
    for (Map.Entry<String, String> field : fields.entrySet()) {
      text = text.replace("{{" + field.getKey() + "}}", field.getValue());
    }
    return text;
  }

  /** Restarts processes that ended, as the platform does. */
  private void keep() {
    while (!closed) {
      for (Machine machine : List.copyOf(machines)) {
        Process process = machine.process;
        if (process != null && machine.restarts && !process.isAlive()) {
          machine.ownEnds++;
          note(machine.name + " ended by itself with status " + process.exitValue());
          sleep(300);
          if (closed) {
            return;
          }
          try {
            machine.bootstrap = false;
            start(machine);
          } catch (IOException e) {
            note("can't restart " + machine.name + ": " + e);
          }
        }
      }
      sleep(50);
    }
  }

  void kill(Machine machine) throws IOException, InterruptedException {
    machine.restarts = false;
    machine.process.destroyForcibly().waitFor();
  }

  void signal(Machine machine, String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(machine.pid())).start().waitFor();
  }

  private void killAll() {
    synchronized (lifecycle) {
      closed = true;
      for (Machine machine : List.copyOf(machines)) {
        machine.restarts = false;
        if (machine.process != null) {
          machine.process.destroyForcibly();
        }
      }
    }
  }

  @Override
  public void close() throws IOException {
    killAll();
    for (Machine machine : machines) {
      try {
        if (machine.process != null) {
          machine.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> all = Files.walk(folder)) {
        all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
      }
    } else {
      System.out.println("kept " + folder);
    }
    record.close();
  }

  private static int freePorts() throws IOException {
    for (int i = 0; i < 200; i++) {
      int first = ThreadLocalRandom.current().nextInt(12_000, 31_900);
      boolean free = true;
      for (int port = first; port < first + 20 && free; port++) {
        for (String ip : List.of(NET + "1.1", NET + "2.1", "127.0.0.1")) {
          try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            free &= socket.isBound();
          } catch (IOException e) {
            free = false;
          }
        }
      }
      if (free) {
        return first;
      }
    }
    throw new IOException("no free ports");
  }

  // ---- HTTP ----

  /** Sends one request on a new connection and reads its response. */
  static Answer call(
      String ip, int port, String method, String path, String headers, byte[] body, int timeoutMs) {
    Answer answer = new Answer();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, port), Math.min(timeoutMs, 1000));
      socket.setSoTimeout(timeoutMs);
      socket.setTcpNoDelay(true);
      String head =
          method + " " + path + " HTTP/1.1\r\n" + headers
              + (body == null ? "" : "Content-Length: " + body.length + "\r\n")
              + "\r\n";
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.getBytes(StandardCharsets.ISO_8859_1));
      if (body != null) {
        all.write(body);
      }
      socket.getOutputStream().write(all.toByteArray());
      socket.getOutputStream().flush();
      read(socket.getInputStream(), answer);
    } catch (IOException e) {
      answer.problem = e.getClass().getSimpleName() + ": " + e.getMessage();
    }
    return answer;
  }

  /** Reads one response. */
  static void read(InputStream in, Answer answer) throws IOException {
    String head = readHead(in);
    if (head == null) {
      throw new IOException("closed without an answer");
    }
    answer.headers = head;
    answer.status = Integer.parseInt(head.split(" ")[1]);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    String length = answer.header("Content-Length");
    try {
      if ("chunked".equalsIgnoreCase(answer.header("Transfer-Encoding"))) {
        while (true) {
          int size = Integer.parseInt(readLine(in).trim(), 16);
          if (size == 0) {
            readLine(in);
            break;
          }
          copy(in, body, size);
          readLine(in);
        }
      } else if (length != null) {
        copy(in, body, Integer.parseInt(length));
      } else if (answer.status != 204) {
        body.write(in.readAllBytes());
      }
      answer.complete = true;
    } finally {
      answer.body = body.toByteArray();
    }
  }

  private static void copy(InputStream in, ByteArrayOutputStream out, int size) throws IOException {
    byte[] buffer = new byte[8192];
    int left = size;
    while (left > 0) {
      int got = in.read(buffer, 0, Math.min(left, buffer.length));
      if (got < 0) {
        throw new IOException("answer cut short, " + left + " bytes missing");
      }
      out.write(buffer, 0, got);
      left -= got;
    }
  }

  static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    while (line != null && !line.isEmpty()) {
      head.append(line).append("\r\n");
      line = readLine(in);
    }
    return head.toString();
  }

  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.append((char) next);
      }
      next = in.read();
    }
    return line.toString();
  }

  /** Calls control as the operator does: follows redirects twice, else asks the next member. */
  Answer operator(String method, String path, byte[] body, long forMs) {
    long end = System.nanoTime() + forMs * 1_000_000L;
    int next = ThreadLocalRandom.current().nextInt(100);
    Answer last = new Answer();
    long pause = 30;
    while (System.nanoTime() < end) {
      List<Machine> cores = machines.stream().filter(m -> m.role.equals("teaseltrail-control")).toList();
      String ip = cores.get(next++ % cores.size()).ip;
      int port = control;
      for (int hop = 0; hop < 3; hop++) {
        String json = body == null ? "" : "Content-Type: application/json\r\n";
        last = call(ip, port, method, path, "Host: control\r\nConnection: close\r\n" + json, body, 2500);
        if (last.status != 307) {
          break;
        }
        String[] to = last.header("Location").substring("http://".length()).split("/")[0].split(":");
        ip = to[0];
        port = Integer.parseInt(to[1]);
      }
      if (last.status == 200 || (last.status >= 400 && last.status < 500)) {
        return last;
      }
      sleep(pause);
      pause = Math.min(500, pause * 2);
    }
    return last;
  }

  boolean isReady(Machine machine) {
    return call(machine.ip, ready, "GET", "/v1/ready", "Host: x\r\nConnection: close\r\n", null, 1000).status == 200;
  }

  void awaitReady(Machine machine, long forMs) throws IOException {
    long end = System.nanoTime() + forMs * 1_000_000L;
    while (!isReady(machine)) {
      if (System.nanoTime() > end) {
        throw new IOException(machine.name + " isn't ready");
      }
      sleep(50);
    }
  }
}
