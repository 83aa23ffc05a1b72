import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;

/** A front machine is stopped by SIGTERM while clients read their answers slowly. */
final class Case8 {
  private static final int CLIENTS = 6;
  private static final int ANSWER_BYTES = 4_500_000;
  private static final int READ_BYTES = 8 * 1024;
  private static final int READ_EVERY_MS = 22;

  public static void main(String[] args) throws Exception {
    Record.run(args[0], Case8::run);
  }

  private static boolean run(Record record) throws Exception {
    try (Deployment system = new Deployment(record, 3, 1)) {
      system.startAll();
      system.installPlan(
          Plans.plan(
              1,
              List.of(Plans.route("r1", "/papers/", "safe", "s", 15_000, true)),
              List.of("s"),
              null));
      system.awaitReady(0);
      String ip = system.net + 100;
      Process server =
          system.standIn("Server", ip, String.valueOf(system.controlPort + 3), "i-review8");
      BufferedReader said = new BufferedReader(new InputStreamReader(server.getInputStream()));
      said.readLine();
      CountDownLatch answered = new CountDownLatch(CLIENTS);
      Thread reader =
          new Thread(
              () ->
                  said.lines()
                      .forEach(
                          line -> {
                            record.line("server: " + line);
                            if (line.startsWith("answered")) {
                              answered.countDown();
                            }
                          }));
      reader.setDaemon(true);
      reader.start();
      system.register("i-review8", "s", ip + ":" + (system.controlPort + 3), 20);
      Thread.sleep(1_000);
      ExecutorService clients = Executors.newCachedThreadPool();
      List<Future<Boolean>> whole = new ArrayList<>();
      long startNs = System.nanoTime();
      for (int i = 0; i < CLIENTS; i++) {
        String id = "paper-" + i;
        whole.add(clients.submit(() -> fetch(system, record, id, startNs)));
      }
      if (!answered.await(10, TimeUnit.SECONDS)) {
        throw new IOException("the server did not answer");
      }
      if (Record.hasTrouble()) {
        record.line("the platform sends SIGTERM; SIGKILL would follow after graceS = " + system.graceS);
        long termNs = System.nanoTime();
        system.signal(system.frontName(0), "TERM");
        Process front = system.processes.get(system.frontName(0));
        clients.submit(
            () -> {
              if (!front.waitFor(system.graceS, TimeUnit.SECONDS)) {
                front.destroyForcibly();
                record.line("the platform sends SIGKILL");
              }
              record.line(
                  "the front process ended, code " + front.waitFor() + ", "
                      + (System.nanoTime() - termNs) / 1_000_000 + " ms after SIGTERM");
              return null;
            });
      }
      int cut = 0;
      for (Future<Boolean> one : whole) {
        cut += one.get(40, TimeUnit.SECONDS) ? 0 : 1;
      }
      record.line(cut + " of " + CLIENTS + " answers were cut off");
      clients.shutdownNow();
      if (!Record.hasTrouble() && cut > 0) {
        throw new IOException("without the disruption, an answer was cut off");
      }
      return cut > 0;
    }
  }

  /** Fetches a paper, about 0.36 MB a second; returns whether it came whole. */
  private static boolean fetch(Deployment system, Record record, String id, long startNs)
      throws Exception {
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(8 * 1024);
      socket.connect(new InetSocketAddress(system.frontIp(0), system.frontPort));
      socket.setSoTimeout(20_000);
      socket.getOutputStream().write(
          Plans.request("GET", "/papers/x?ms=20&bytes=" + ANSWER_BYTES, id, null, 15_000, 0));
      InputStream slow =
          new FilterInputStream(socket.getInputStream()) {
            @Override
            public int read(byte[] bytes, int from, int length) throws IOException {
              try {
                Thread.sleep(READ_EVERY_MS);
              } catch (InterruptedException e) {
                throw new InterruptedIOException();
              }
              return super.read(bytes, from, Math.min(length, READ_BYTES));
            }
          };
      Http.Answer answer = Http.read(new BufferedInputStream(slow, READ_BYTES));
      boolean whole =
          answer != null
              && answer.status == 200
              && answer.complete
              && Server.isWhole(id, answer.body, ANSWER_BYTES);
      record.line(
          "client: " + id + " got " + answer + (whole ? ", whole" : ", NOT WHOLE") + ", "
              + (System.nanoTime() - startNs) / 1_000_000 + " ms after it began to send");
      return whole;
    }
  }
}
