import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case 1: hundreds of changes of a configuration that has grown by many routes. The operator sends
 * one change after the other, and reads the newest acknowledged one back.
 */
final class ManyChanges {

  private static final int ROUTES = 13;
  private static final int MORE_ROUTES = 390;
  private static final int STORMS = 34;
  private static final int CHANGES = 25;
  private static final long GAP_MS = 60;
  private static final long PAUSE_MS = 200;
  private static final long READ_BACK_MS = 14_000;
  private static final double LAST_STORM_S = 90;

  /** Changes in a row without an acknowledgement after which the operator gives up. */
  private static final int MAX_UNANSWERED = 3;

  private ManyChanges() {}

  static String plan(long version, int routes) {
    StringBuilder all = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
    for (int i = 0; i < routes; i++) {
      String name = Integer.toString(1_000_000 + i, 36);
      // Each change sets another time-out on one route that no client uses.
      long timeoutMs = i == 8 ? 10_000 + version : 10_000;
      all.append(i == 0 ? "" : ",")
          .append("{\"name\":\"r-").append(name)
          .append("\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/p").append(name)
          .append("/\",\"kind\":\"streaming\",\"timeoutMs\":").append(timeoutMs)
          .append(",\"targetLatencyMs\":500,\"priority\":1,\"service\":\"huvo11a\",")
          .append("\"maxAttempts\":1,\"public\":false,\"sessionAffinity\":true,")
          .append("\"resumable\":false,\"targetGapMs\":600}");
    }
    return all
        + "],\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\","
        + "\"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
        + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"i9n73hh2b9wu3fexd9dn\"],"
        + "\"priority\":1,\"unit\":\"token_stream\",\"plainTokens\":200,"
        + "\"ratePerS\":106534,\"burst\":106534}]}";
  }

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
    List<Lab.Machine> cores = new ArrayList<>();
    for (int i = 1; i <= 5; i++) {
      cores.add(lab.core(i));
    }
    lab.seeds = cores.stream().limit(3).map(core -> core.ip + ":" + lab.control).toList();
    for (Lab.Machine core : cores) {
      lab.start(core);
    }
    Lab.Answer first = lab.operator("PUT", "/v1/config", bytes(plan(1, ROUTES)), 20_000);
    lab.note("sent version 1, " + ROUTES + " routes: " + first);
    if (first.status != 200) {
      return 2;
    }
    int routes = Lab.trouble() ? ROUTES + MORE_ROUTES : ROUTES;
    long acknowledged = 1;
    String newest = plan(1, ROUTES);
    long version = 1;
    int unanswered = 0;
    for (int storm = 1; storm <= STORMS && mayGoOn(lab, unanswered); storm++) {
      int answered = 0;
      for (int i = 0; i < CHANGES && mayGoOn(lab, unanswered); i++) {
        long endNs = System.nanoTime() + GAP_MS * 1_000_000;
        version++;
        String sent = plan(version, routes);
        Lab.Answer answer = lab.operator("PUT", "/v1/config", bytes(sent), 4_000);
        if (answer.status == 200) {
          answered++;
          acknowledged = version;
          newest = sent;
          unanswered = 0;
        } else {
          unanswered++;
          lab.note("version " + version + " isn't acknowledged within 4 s: " + answer);
        }
        Lab.sleep(Math.max(0, (endNs - System.nanoTime()) / 1_000_000));
      }
      lab.note(
          "storm " + storm + ": " + answered + " of " + CHANGES + " changes of "
              + bytes(newest).length + " bytes acknowledged, newest " + acknowledged);
      Lab.sleep(PAUSE_MS);
    }
    lab.note("no more changes; reading back for " + READ_BACK_MS / 1_000 + " s");
    boolean readBack = false;
    long end = System.nanoTime() + READ_BACK_MS * 1_000_000;
    Lab.Answer last = new Lab.Answer();
    while (System.nanoTime() < end && !readBack) {
      last = lab.operator("GET", "/v1/config", null, 2_000);
      readBack = last.status == 200;
    }
    boolean same = readBack && last.text().equals(newest);
    boolean newer = readBack && !same && versionOf(last.text()) > acknowledged;
    lab.note("read back: " + last + (readBack ? ", " + last.text().substring(0, 16) : ""));
    for (Lab.Machine core : cores) {
      lab.note(core.name + " ended by itself " + core.ownEnds + " times");
    }
    boolean held = same || newer;
    lab.note(
        held
            ? "CONFIG held: version " + acknowledged + " or a newer one was read back"
            : "CONFIG broken: version " + acknowledged + " was acknowledged and isn't read back");
    return held ? 0 : 1;
  }

  static long versionOf(String plan) {
    return Long.parseLong(plan.replaceAll("^\\{\"version\":(\\d+).*", "$1"));
  }

  private static boolean mayGoOn(Lab lab, int unanswered) {
    return lab.seconds() < LAST_STORM_S && unanswered < MAX_UNANSWERED;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
