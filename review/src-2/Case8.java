import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;

/** The operator takes the only tenant's key away, with the tenant. */
final class Case8 {
  private static final int REVOKE_MS = 5_000;
  private static final int REQUESTS = 10;

  public static void main(String[] args) throws Exception {
    Record.run("review/8", Case8::run);
  }

  private static String plan(int version, String tenants) {
    return Plans.plan(
        version,
        List.of(Plans.route("r1", "/orders/", "unsafe", "s", 5_000, false)),
        List.of("s"),
        tenants);
  }

  private static boolean run(Record record) throws Exception {
    String tenant =
        "[{\"name\":\"hule930\",\"apiKeys\":[\"i9n73hh2b9wu3fexd9dn\"],\"priority\":1,"
            + "\"unit\":\"token_stream\",\"plainTokens\":200,\"ratePerS\":106534,\"burst\":106534}]";
    try (Deployment system = new Deployment(record, 3, 1)) {
      system.startAll();
      system.installPlan(plan(1, tenant));
      system.awaitReady(0);
      String ip = system.net + 100;
      Process server =
          system.standIn("Server", ip, String.valueOf(system.controlPort + 3), "i-review8");
      BufferedReader said = new BufferedReader(new InputStreamReader(server.getInputStream()));
      said.readLine();
      Set<String> ran = ConcurrentHashMap.newKeySet();
      Thread reader =
          new Thread(
              () ->
                  said.lines()
                      .forEach(
                          line -> {
                            record.line("server: " + line);
                            if (line.startsWith("runs")) {
                              ran.add(line.split(" ")[1]);
                            }
                          }));
      reader.setDaemon(true);
      reader.start();
      system.register("i-review8", "s", ip + ":" + (system.controlPort + 3), 8);
      Thread.sleep(1_000);
      send(system, record, "before-none", null);
      int before = send(system, record, "before", "i9n73hh2b9wu3fexd9dn");
      if (before != 200) {
        throw new IOException("the key did not work before it was taken away");
      }
      String second = Record.hasTrouble() ? "[]" : tenant;
      system.installPlan(plan(2, second));
      record.line("operator: version 2 acknowledged, its tenants are " + second);
      Thread.sleep(REVOKE_MS + 1_000);
      for (int i = 0; i < REQUESTS; i++) {
        send(system, record, "after-" + i, "i9n73hh2b9wu3fexd9dn");
      }
      send(system, record, "after-none", null);
      send(system, record, "after-never-held", "zzzzzzzzzzzzzzzzzzzz");
      Thread.sleep(200);
      long late = ran.stream().filter(id -> id.startsWith("after-")).count();
      record.line(late + " of " + (REQUESTS + 2) + " requests ran after revokeMs");
      if (!Record.hasTrouble()) {
        return ran.contains("after-none") || ran.contains("after-never-held");
      }
      return late > 0;
    }
  }

  private static int send(Deployment system, Record record, String id, String key)
      throws Exception {
    try (Socket socket = new Socket(system.frontIp(0), system.frontPort)) {
      socket.setSoTimeout(6_000);
      socket.getOutputStream().write(
          Plans.request("POST", "/orders/x?ms=10&bytes=100", id, key, 4_000, 0));
      Http.Answer answer = Http.read(new BufferedInputStream(socket.getInputStream()));
      record.line("client: " + id + " with key " + key + " got " + answer);
      return answer == null ? 0 : answer.status;
    }
  }
}
