import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** A front machine loses power while a release begins; its streams are taken up at others. */
final class Case6 {
  private static final int STREAMS = 30;

  /** One of seven is below the share of 0.16 that may lose power. */
  private static final int FRONTS = 7;

  /** The gap after which clients abandon a stream: 2 s, 4 x 500 ms and 8 x 250 ms are equal. */
  private static final int GAP_MS = 2_000;

  private static final int DEADLINE_MS = 15_000;

  /** How long the machine has no power. */
  private static final int POWER_OFF_MS = 3_500;

  private static volatile boolean dark;

  public static void main(String[] args) throws Exception {
    Record.run(args[0], Case6::run);
  }

  private static boolean run(Record record) throws Exception {
    try (Deployment system = new Deployment(record, 5, FRONTS)) {
      system.startAll();
      system.installPlan(
          Plans.plan(
              1,
              List.of(
                  Plans.route("r1", "/reports/", "streaming", "s", DEADLINE_MS, true)
                      .replace("\"resumable\":false", "\"resumable\":true,\"targetGapMs\":250")
                      .replace("\"targetLatencyMs\":1500", "\"targetLatencyMs\":500")
                      .replace("\"maxAttempts\":1", "\"maxAttempts\":2")),
              List.of("s"),
              null));
      for (int i = 0; i < FRONTS; i++) {
        system.awaitReady(i);
      }
      server(system, record, 0, "v1");
      server(system, record, 1, "v1");
      Thread.sleep(4_000);
      ServerSocket link = link(system);
      ExecutorService clients = Executors.newCachedThreadPool();
      List<Future<Boolean>> streams = new ArrayList<>();
      AtomicInteger takenUp = new AtomicInteger();
      for (int i = 0; i < STREAMS; i++) {
        String id = "stream-" + i;
        streams.add(
            clients.submit(
                () -> stream(system, record, id, link.getLocalSocketAddress(), takenUp)));
      }
      Thread.sleep(1_500);
      long killedNs = System.nanoTime();
      if (Record.hasTrouble()) {
        record.line("front machine " + system.frontName(0) + " loses power");
        dark = true;
        system.killNow(system.frontName(0));
      }
      Thread.sleep(500);
      // The release: the new server starts first, beside the old ones, which go on serving.
      server(system, record, 2, "v2");
      record.line("a server of version v2 starts and is registered; two of v1 serve");
      if (Record.hasTrouble()) {
        Thread.sleep(POWER_OFF_MS - (System.nanoTime() - killedNs) / 1_000_000);
        system.startFront(0);
        record.line("front machine " + system.frontName(0) + " has power again, and starts");
      }
      int whole = 0;
      for (Future<Boolean> one : streams) {
        whole += one.get(60, TimeUnit.SECONDS) ? 1 : 0;
      }
      int begun = 0;
      for (int i = 0; i < 12; i++) {
        begun += begins(system, record, "new-" + i, i % 2 + 1) ? 1 : 0;
      }
      record.line(whole + " of " + STREAMS + " streams came whole; " + takenUp
          + " were taken up again; " + begun + " of 12 new streams begin");
      clients.shutdownNow();
      if (!Record.hasTrouble()) {
        if (whole < STREAMS) {
          throw new IOException("without the disruption, a stream was not whole");
        }
        return false;
      }
      // LOST: of 12 or more that are taken up, under half of the share of new streams that begin.
      return takenUp.get() >= 12 && whole * 12 * 2 < takenUp.get() * begun;
    }
  }

  private static void server(Deployment system, Record record, int number, String version)
      throws Exception {
    String ip = system.net + (100 + number);
    String port = String.valueOf(system.controlPort + 3);
    Process process = system.standIn("VersionedServer", ip, port, "i-review6-" + number, version);
    BufferedReader said = new BufferedReader(new InputStreamReader(process.getInputStream()));
    said.readLine();
    Thread reader =
        new Thread(
            () ->
                said.lines().forEach(line -> record.line("server " + version + ": " + line)));
    reader.setDaemon(true);
    reader.start();
    system.register("i-review6-" + number, "s", ip + ":" + port, 40, version);
  }

  /** The link to the first front machine: once it is dark, nothing passes and nothing is reset. */
  private static ServerSocket link(Deployment system) throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.bind(new InetSocketAddress(system.net + 90, 0), 200);
    Thread acceptor =
        new Thread(
            () -> {
              try {
                while (true) {
                  Socket client = listener.accept();
                  Socket front = new Socket(system.frontIp(0), system.frontPort);
                  copy(client, front);
                  copy(front, client);
                }
              } catch (IOException e) {
                // The case has ended.
              }
            });
    acceptor.setDaemon(true);
    acceptor.start();
    return listener;
  }

  private static void copy(Socket from, Socket to) {
    Thread thread =
        new Thread(
            () -> {
              byte[] buffer = new byte[8192];
              try {
                for (int n = from.getInputStream().read(buffer);
                    n >= 0 && !dark;
                    n = from.getInputStream().read(buffer)) {
                  to.getOutputStream().write(buffer, 0, n);
                }
              } catch (IOException e) {
                // As below.
              }
              if (!dark) {
                try {
                  to.close();
                } catch (IOException e) {
                  // It is closed.
                }
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static byte[] head(String id, int deadlineMs, int last, String first) {
    String request =
        new String(
            Plans.request("POST", "/reports/x", id, null, deadlineMs, 0),
            StandardCharsets.ISO_8859_1);
    String resumes =
        last == 0 ? "" : "Last-Event-Id: " + last + "\r\nResumes: " + first + "\r\n";
    return request
        .replaceFirst("\r\n\r\n$", "\r\n" + resumes + "\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Reads a stream, and takes it up at the other machines after a gap; returns whether it is whole. */
  private static Boolean stream(
      Deployment system, Record record, String id, SocketAddress link, AtomicInteger takenUp)
      throws Exception {
    long endNs = System.nanoTime() + DEADLINE_MS * 1_000_000L;
    int last = 0;
    Set<String> versions = new TreeSet<>();
    StringBuilder tries = new StringBuilder();
    for (int attempt = 0; last < VersionedServer.EVENTS; attempt++) {
      int leftMs = (int) ((endNs - System.nanoTime()) / 1_000_000);
      if (leftMs < 300) {
        break;
      }
      double retryAfterS = 0.2;
      try (Socket socket = new Socket()) {
        socket.connect(
            attempt == 0
                ? link
                : new InetSocketAddress(
                    system.frontIp(1 + (attempt + id.hashCode() & 1)), system.frontPort),
            1_000);
        socket.setSoTimeout(GAP_MS);
        if (attempt == 1) {
          takenUp.incrementAndGet();
        }
        socket.getOutputStream().write(head(id + "-" + attempt, leftMs, last, id + "-0"));
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String status = in.readLine();
        tries.append(' ').append(status == null ? "closed" : status.substring(9, 12));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          if (line.startsWith("id: ")) {
            int event = Integer.parseInt(line.substring(4));
            if (event != last + 1) {
              record.line("client: " + id + " got event " + event + " after " + last);
            }
            last = event;
          } else if (line.startsWith("data: ")) {
            versions.add(line.substring(6));
          } else if (line.toLowerCase(Locale.ROOT).startsWith("retry-after: ")) {
            retryAfterS = Double.parseDouble(line.substring(13));
          } else if (line.equals("0")
              || last == VersionedServer.EVENTS
              || (line.isEmpty() && !status.contains(" 200 "))) {
            break;
          }
        }
      } catch (SocketTimeoutException e) {
        tries.append(" silent");
        retryAfterS = 0;
      } catch (IOException e) {
        tries.append(" closed");
      }
      if (last < VersionedServer.EVENTS) {
        Thread.sleep((long) (retryAfterS * 1_000));
      }
    }
    record.line(
        "client: " + id + " has " + last + " of " + VersionedServer.EVENTS + " events, of "
            + versions + "; its tries:" + tries);
    return last == VersionedServer.EVENTS && versions.size() == 1;
  }

  private static boolean begins(Deployment system, Record record, String id, int front)
      throws Exception {
    try (Socket socket = new Socket(system.frontIp(front), system.frontPort)) {
      socket.setSoTimeout(GAP_MS);
      socket.getOutputStream().write(head(id, DEADLINE_MS, 0, ""));
      BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith("id: 1")) {
          return true;
        }
      }
    } catch (IOException e) {
      record.line("client: " + id + " " + e);
    }
    return false;
  }
}
