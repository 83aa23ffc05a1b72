import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** A server crashes while it sends an answer without a length and has not read the whole body. */
final class Case4 {
  private static final int REQUESTS = 4;

  /** One of four is the largest share that may crash, 0.25. */
  private static final int SERVERS = 4;

  private static final int BODY_BYTES = 4_000_000;

  public static void main(String[] args) throws Exception {
    Record.run(args[0], Case4::run);
  }

  private static boolean run(Record record) throws Exception {
    try (Deployment system = new Deployment(record, 3, 1)) {
      system.startAll();
      system.installPlan(
          "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"calls.example\","
              + "\"pathPrefix\":\"/upload/\",\"kind\":\"unsafe\",\"timeoutMs\":15000,"
              + "\"targetLatencyMs\":3000,\"priority\":0,\"service\":\"s\",\"maxAttempts\":1,"
              + "\"public\":true}],\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\","
              + "\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"
              + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
              + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
      system.awaitReady(0);
      CountDownLatch running = new CountDownLatch(REQUESTS);
      CompletableFuture<Process> first = new CompletableFuture<>();
      for (int i = 0; i < SERVERS; i++) {
        String ip = system.net + (100 + i);
        String name = "i-review4-" + i;
        Process server =
            system.standIn("EarlyServer", ip, String.valueOf(system.controlPort + 3), name);
        BufferedReader said =
            new BufferedReader(new InputStreamReader(server.getInputStream()));
        said.readLine();
        Thread reader =
            new Thread(
                () ->
                    said.lines()
                        .forEach(
                            line -> {
                              record.line("server " + name + ": " + line);
                              if (line.startsWith("runs")) {
                                first.complete(server);
                                running.countDown();
                              }
                            }));
        reader.setDaemon(true);
        reader.start();
        system.register(name, "s", ip + ":" + (system.controlPort + 3), 8);
      }
      Thread.sleep(1_000);
      ExecutorService clients = Executors.newFixedThreadPool(REQUESTS);
      List<Future<Boolean>> wrong = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        String id = "review4-" + i;
        wrong.add(clients.submit(() -> send(system, record, id)));
      }
      Process crashing = first.get(20, TimeUnit.SECONDS);
      Thread.sleep(300);
      if (Record.hasTrouble()) {
        record.line("the server that began first crashes (SIGKILL)");
        crashing.destroyForcibly();
      }
      if (!running.await(20, TimeUnit.SECONDS)) {
        throw new IOException("the servers did not begin to run the requests");
      }
      int count = 0;
      int whole = 0;
      for (Future<Boolean> one : wrong) {
        Boolean isWrong = one.get(60, TimeUnit.SECONDS);
        count += Boolean.TRUE.equals(isWrong) ? 1 : 0;
        whole += isWrong == null ? 0 : 1;
      }
      clients.shutdownNow();
      record.line(count + " of " + REQUESTS + " clients got a success with a part of the body");
      if (!Record.hasTrouble() && whole != REQUESTS) {
        throw new IOException("without the disruption, a request was not answered with success");
      }
      return count > 0;
    }
  }

  /** Returns whether the success is wrong; null if there was no complete success. */
  private static Boolean send(Deployment system, Record record, String id) throws Exception {
    try (Socket socket = new Socket(system.frontIp(0), system.frontPort)) {
      socket.setSoTimeout(20_000);
      OutputStream out = socket.getOutputStream();
      out.write(
          ("POST /upload/x HTTP/1.1\r\nHost: calls.example\r\nX-Teaseltrail-Request-Id: " + id
                  + "\r\nX-Teaseltrail-Deadline-Ms: 15000\r\nContent-Length: " + BODY_BYTES
                  + "\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      byte[] body = new byte[BODY_BYTES];
      Arrays.fill(body, (byte) 'x');
      out.write(body);
      record.line("client: sent " + id + ", " + BODY_BYTES + " bytes");
      Http.Answer answer = Http.read(socket.getInputStream());
      if (answer == null) {
        record.line("client: " + id + " got no answer");
        return null;
      }
      boolean success = answer.status >= 200 && answer.status < 300 && answer.complete;
      boolean isWhole = answer.body.length == EarlyServer.WHOLE;
      for (int i = 0; i < answer.body.length && success; i++) {
        isWhole &= answer.body[i] == EarlyServer.byteAt(id, i);
      }
      record.line(
          "client: " + id + " got " + answer + ", Content-Length "
              + answer.header("content-length") + ", signature "
              + answer.header("x-teaseltrail-response-signature")
              + (success ? (isWhole ? ": whole" : ": A PART, of " + EarlyServer.WHOLE) : ""));
      return success ? !isWhole : null;
    }
  }
}
