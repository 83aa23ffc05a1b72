import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Some clients at once at one front machine, each for an answer of 6,000,000 bytes. */
final class Case7 {
  private static final int CLIENTS = 24;
  private static final int GAP_MS = 400;
  private static final int ANSWER_BYTES = 6_000_000;
  private static final int ORDERS = 8;

  public static void main(String[] args) throws Exception {
    Record.run(args[0], Case7::run);
  }

  private static boolean run(Record record) throws Exception {
    try (Deployment system = new Deployment(record, 3, 1)) {
      system.startAll();
      system.installPlan(
          Plans.plan(
              1,
              List.of(
                  Plans.route("r1", "/papers/", "safe", "s", 15_000, true),
                  Plans.route("r2", "/orders/", "unsafe", "s", 15_000, true)),
              List.of("s"),
              null));
      system.awaitReady(0);
      String ip = system.net + 100;
      Process server =
          system.standIn("Server", ip, String.valueOf(system.controlPort + 3), "i-review7");
      BufferedReader said = new BufferedReader(new InputStreamReader(server.getInputStream()));
      said.readLine();
      Set<String> answered = ConcurrentHashMap.newKeySet();
      Thread reader =
          new Thread(
              () ->
                  said.lines()
                      .forEach(
                          line -> {
                            record.line("server: " + line);
                            if (line.startsWith("answered")) {
                              answered.add(line.split(" ")[1]);
                            }
                          }));
      reader.setDaemon(true);
      reader.start();
      system.register("i-review7", "s", ip + ":" + (system.controlPort + 3), 60);
      Thread.sleep(1_000);
      ExecutorService clients = Executors.newCachedThreadPool();
      AtomicInteger lost = new AtomicInteger();
      AtomicInteger served = new AtomicInteger();
      List<Future<?>> orders = new ArrayList<>();
      Map<String, AtomicInteger> papers = new ConcurrentSkipListMap<>();
      List<Future<?>> fetched = new ArrayList<>();
      for (int i = 0; i < ORDERS; i++) {
        String id = "order-" + i;
        orders.add(clients.submit(() -> order(system, record, id, lost, served)));
      }
      Thread.sleep(300);
      for (int i = 0; i < CLIENTS; i++) {
        String id = "paper-" + i;
        fetched.add(
            clients.submit(
                () -> {
                  String result = fetch(system, id);
                  record.line("client: " + id + " " + result);
                  papers.computeIfAbsent(result, key -> new AtomicInteger()).incrementAndGet();
                }));
        Thread.sleep(Record.hasTrouble() ? 0 : GAP_MS);
      }
      for (Future<?> one : orders) {
        one.get(60, TimeUnit.SECONDS);
      }
      for (Future<?> one : fetched) {
        one.get(60, TimeUnit.SECONDS);
      }
      Process front = system.processes.get(system.frontName(0));
      record.line("papers: " + papers);
      record.line("orders: " + served + " answered; " + lost
          + " kept connections were closed without an answer after the request was passed on");
      record.line("the front process "
          + (front.isAlive() ? "runs" : "has ended by itself, code " + front.exitValue()));
      for (String line : system.log(system.frontName(0)).split("\n")) {
        if (line.contains("OutOfMemory")) {
          record.line("its output: " + line);
        }
      }
      clients.shutdownNow();
      if (!Record.hasTrouble() && served.get() != ORDERS) {
        throw new IOException("without the disruption, an order was not answered");
      }
      return lost.get() > 3;
    }
  }

  private static void order(
      Deployment system, Record record, String id, AtomicInteger lost, AtomicInteger served) {
    try (Socket socket = new Socket(system.frontIp(0), system.frontPort)) {
      socket.setSoTimeout(20_000);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      socket.getOutputStream().write(
          Plans.request("POST", "/orders/x?ms=5&bytes=800", id + "-a", null, 15_000, 0));
      Http.Answer first = Http.read(in);
      if (first == null || first.status != 200) {
        record.line("client: " + id + "-a got " + first);
        return;
      }
      socket.getOutputStream().write(
          Plans.request("POST", "/orders/x?ms=12000&bytes=800", id + "-b", null, 15_000, 0));
      Http.Answer second = null;
      String how = "no answer, the connection is closed";
      try {
        second = Http.read(in);
      } catch (SocketTimeoutException e) {
        how = "no answer for 20 s";
      } catch (IOException e) {
        how = "no answer, the connection is reset";
      }
      record.line("client: " + id + "-b got " + (second == null ? how : second));
      if (second == null && !how.startsWith("no answer for")) {
        lost.incrementAndGet();
      } else if (second != null && second.status == 200) {
        served.incrementAndGet();
      }
    } catch (IOException e) {
      record.line("client: " + id + ": " + e);
    }
  }

  private static String fetch(Deployment system, String id) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(system.frontIp(0), system.frontPort), 3_000);
      socket.setSoTimeout(15_500);
      socket.getOutputStream().write(
          Plans.request("GET", "/papers/x?ms=20&bytes=" + ANSWER_BYTES, id, null, 15_000, 0));
      InputStream in = socket.getInputStream();
      Http.Answer answer = Http.read(new BufferedInputStream(in));
      if (answer == null) {
        return "closed without an answer";
      }
      boolean whole = answer.status == 200 && Server.isWhole(id, answer.body, ANSWER_BYTES);
      return answer.status + (answer.status != 200 ? "" : whole ? " whole" : " cut off");
    } catch (SocketTimeoutException e) {
      return "no answer in 15.5 s";
    } catch (IOException e) {
      return "reset without an answer";
    }
  }
}
