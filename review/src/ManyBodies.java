import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 3: some clients send bodies within maxBodyBytes at the same time to one front machine, while
 * other clients send small requests to it.
 */
final class ManyBodies {

  private static final int UPLOADS = 24;
  private static final int BODY_BYTES = 4_000_000;
  private static final int TIMEOUT_MS = 800;
  private static final int DEADLINE_MS = 1_500;
  private static final int GRACE_MS = 500;
  private static final int SMALL_GAP_MS = 50;

  private static final String PLAN =
      "{\"version\":1,\"routes\":["
          + "{\"name\":\"r-small\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/puxa403/\","
          + "\"kind\":\"unsafe\",\"timeoutMs\":" + TIMEOUT_MS + ",\"targetLatencyMs\":300,"
          + "\"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":1,\"public\":true},"
          + "{\"name\":\"r-large\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/lohu930/\","
          + "\"kind\":\"unsafe\",\"timeoutMs\":12000,\"targetLatencyMs\":1200,"
          + "\"priority\":0,\"service\":\"wuno96b\",\"maxAttempts\":1,\"public\":true}],"
          + "\"services\":[{\"name\":\"wuno96b\",\"healthPath\":\"/health\","
          + "\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],"
          + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
          + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

  /** A small request: when it was answered, if it was. */
  private record Small(String id, double sentS, long elapsedMs, String answer, boolean isFinal) {}

  private ManyBodies() {}

  public static void main(String[] args) throws Exception {
    int code = 2;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      code = play(lab);
    } catch (Exception e) {
      System.out.println("can't run: " + e);
    }
    System.exit(code);
  }

  private static int play(Lab lab) throws Exception {
    lab.toleratedLosses = 1;
    List<Lab.Machine> cores = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      cores.add(lab.core(i));
    }
    lab.seeds = cores.stream().map(core -> core.ip + ":" + lab.control).toList();
    for (Lab.Machine core : cores) {
      lab.start(core);
    }
    Lab.Machine front = lab.frontMachine(1);
    lab.start(front);
    Lab.Answer first =
        lab.operator("PUT", "/v1/config", PLAN.getBytes(StandardCharsets.UTF_8), 20_000);
    lab.note("sent the configuration: " + first);
    if (first.status != 200) {
      return 2;
    }
    Set<String> ran = ConcurrentHashMap.newKeySet();
    List<FakeServer> servers = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      servers.add(
          new FakeServer(
              lab,
              "i-" + i,
              "wuno96b",
              i,
              6,
              (request, out) -> {
                ran.add(request.id());
                FakeServer.plain(60, 800).run(request, out);
              }));
    }
    lab.awaitReady(front, 20_000);
    Lab.sleep(2_000);
    for (int i = 0; i < 200; i++) {
      small(lab, front, "warm" + i);
    }

    ExecutorService pool = Executors.newCachedThreadPool();
    List<Future<Small>> asked = new ArrayList<>();
    AtomicBoolean stop = new AtomicBoolean();
    AtomicInteger number = new AtomicInteger();
    Thread steady =
        new Thread(
            () -> {
              while (!stop.get()) {
                String id = "s" + number.incrementAndGet();
                synchronized (asked) {
                  asked.add(pool.submit(() -> small(lab, front, id)));
                }
                Lab.sleep(SMALL_GAP_MS);
              }
            });
    steady.setDaemon(true);
    steady.start();
    Lab.sleep(2_000);

    lab.note(
        UPLOADS + " clients send " + BODY_BYTES + " bytes each to " + front.name
            + (Lab.trouble() ? " at once" : " one after the other"));
    List<Future<String>> uploads = new ArrayList<>();
    for (int i = 1; i <= UPLOADS; i++) {
      String id = "q" + i;
      uploads.add(pool.submit(() -> upload(lab, front, id)));
      if (!Lab.trouble()) {
        uploads.get(i - 1).get();
      }
    }
    Map<String, Integer> outcomes = new TreeMap<>();
    for (int i = 1; i <= UPLOADS; i++) {
      String outcome = uploads.get(i - 1).get();
      lab.note("upload q" + i + ": " + outcome + (ran.contains("q" + i) ? ", ran" : ", not run"));
      outcomes.merge(outcome, 1, Integer::sum);
    }
    Lab.sleep(2_000);
    stop.set(true);
    steady.join();
    int unanswered = 0;
    int late = 0;
    List<Future<Small>> all;
    synchronized (asked) {
      all = List.copyOf(asked);
    }
    for (Future<Small> future : all) {
      Small small = future.get();
      boolean longer = !small.isFinal() || small.elapsedMs() > TIMEOUT_MS;
      boolean isLate = !small.isFinal() || small.elapsedMs() > TIMEOUT_MS + GRACE_MS;
      unanswered += longer ? 1 : 0;
      late += isLate ? 1 : 0;
      if (longer) {
        lab.note(
            "small request " + small.id() + ", sent at " + String.format("%.3f", small.sentS())
                + ": " + small.answer() + " after " + small.elapsedMs() + " ms"
                + (ran.contains(small.id()) ? ", ran" : ", not run"));
      }
    }
    pool.shutdownNow();
    for (String line : Files.readAllLines(front.folder.resolve("log"))) {
      if (line.contains("session_") || line.contains("OutOfMemory")) {
        lab.note("log of " + front.name + ": " + line);
      }
    }
    for (FakeServer server : servers) {
      server.close();
    }
    lab.note("uploads: " + outcomes + "; " + front.name + " ended by itself " + front.ownEnds + " times");
    lab.note(
        all.size() + " small requests, " + unanswered + " unanswered at their route's timeoutMs ("
            + TIMEOUT_MS + "), " + late + " of these still " + GRACE_MS + " ms later");
    boolean broken = late >= 8 && late * 4 > unanswered;
    lab.note(broken ? "CONFIG broken" : "CONFIG held");
    return broken ? 1 : 0;
  }

  private static Small small(Lab lab, Lab.Machine front, String id) {
    double sentS = lab.seconds();
    long startNs = System.nanoTime();
    Lab.Answer answer =
        Lab.call(
            front.ip, lab.front, "POST", "/puxa403/2f", headers(id, DEADLINE_MS), new byte[600],
            DEADLINE_MS);
    long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
    return new Small(id, sentS, elapsedMs, answer.toString(), answer.complete);
  }

  /** Sends a large body on a connection that has served a small request before. */
  private static String upload(Lab lab, Lab.Machine front, String id) {
    Lab.Answer answer = new Lab.Answer();
    try (Socket socket = new Socket(front.ip, lab.front)) {
      socket.setSoTimeout(12_000);
      send(socket, "/puxa403/2f", id + "-before", 600);
      Lab.read(socket.getInputStream(), answer);
      answer = new Lab.Answer();
      send(socket, "/lohu930/2f", id, BODY_BYTES);
      Lab.read(socket.getInputStream(), answer);
    } catch (IOException e) {
      answer.problem = e.getClass().getSimpleName() + ": " + e.getMessage();
    }
    return answer.toString();
  }

  private static void send(Socket socket, String path, String id, int bytes) throws IOException {
    String head =
        "POST " + path + " HTTP/1.1\r\n" + headers(id, 12_000).replace("Connection: close\r\n", "")
            + "Content-Length: " + bytes + "\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(new byte[bytes]);
    socket.getOutputStream().flush();
  }

  private static String headers(String id, int deadlineMs) {
    return "Host: ficu95.example\r\nConnection: close\r\nX-Teaseltrail-Request-Id: " + id
        + "\r\nX-Teaseltrail-Deadline-Ms: " + deadlineMs + "\r\n";
  }
}
