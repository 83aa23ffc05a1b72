import java.io.File;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case 2: core machines lose their disks one after the other, never more than two at once, after
 * hundreds of changes of a configuration with many routes.
 */
final class WipesAfterChanges {

  private static final int ROUTES = 13;
  private static final int MORE_ROUTES = 390;
  private static final int CHANGES = 450;
  private static final long GAP_MS = 60;
  private static final long DOWN_MS = 1_000;

  /** Time from one loss to the next: while a machine is down and for catchUpS, at most two count. */
  private static final long SPACING_MS = 2_800;

  private static final long ACK_MS = 6_000;

  private static final long READ_BACK_MS = 16_000;

  private WipesAfterChanges() {}

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
    long version = 1;
    Lab.Answer answer = put(lab, version, ROUTES, 20_000);
    lab.note("sent version 1, " + ROUTES + " routes: " + answer);
    if (answer.status != 200) {
      return 2;
    }
    int routes = "0".equals(System.getenv("LARGE")) ? ROUTES : ROUTES + MORE_ROUTES;
    for (int i = 0; i < CHANGES; i++) {
      long endNs = System.nanoTime() + GAP_MS * 1_000_000;
      version++;
      answer = put(lab, version, routes, 4_000);
      if (answer.status != 200) {
        lab.note("version " + version + " isn't acknowledged within 4 s: " + answer);
        return 2;
      }
      Lab.sleep(Math.max(0, (endNs - System.nanoTime()) / 1_000_000));
    }
    lab.note(CHANGES + " changes with " + routes + " routes acknowledged, newest " + version);
    Lab.sleep(3_000);

    long acknowledged = version;
    for (Lab.Machine core : cores) {
      long startNs = System.nanoTime();
      version++;
      answer = put(lab, version, routes, ACK_MS);
      lab.note("sent version " + version + ": " + answer);
      if (answer.status != 200) {
        lab.note("isn't acknowledged within " + ACK_MS + " ms; no more disks are lost");
        break;
      }
      acknowledged = version;
      if (Lab.trouble()) {
        lab.kill(core);
        wipe(core);
        lab.note(core.name + " is killed and loses its disk");
        Lab.sleep(DOWN_MS);
        core.bootstrap = false;
        lab.start(core);
        core.restarts = true;
        lab.note(core.name + " is back at its address, with an empty disk");
      }
      Lab.sleep(Math.max(0, SPACING_MS - (System.nanoTime() - startNs) / 1_000_000));
    }
    lab.note("all are back; reading back for " + READ_BACK_MS / 1_000 + " s");
    long end = System.nanoTime() + READ_BACK_MS * 1_000_000;
    long read = -1;
    Lab.Answer last = new Lab.Answer();
    while (System.nanoTime() < end && read < acknowledged) {
      last = lab.operator("GET", "/v1/config", null, 2_000);
      read = last.status == 200 ? ManyChanges.versionOf(last.text()) : -1;
    }
    lab.note("read back: " + last + (read < 0 ? "" : ", version " + read));
    for (Lab.Machine core : cores) {
      lab.note(core.name + " ended by itself " + core.ownEnds + " times");
    }
    boolean held = read >= acknowledged;
    lab.note(
        held
            ? "CONFIG held: version " + acknowledged + " or a newer one was read back"
            : "CONFIG broken: version " + acknowledged + " was acknowledged and isn't read back");
    return held ? 0 : 1;
  }

  private static Lab.Answer put(Lab lab, long version, int routes, long forMs) {
    return lab.operator(
        "PUT", "/v1/config", ManyChanges.bytes(ManyChanges.plan(version, routes)), forMs);
  }

  private static void wipe(Lab.Machine core) {
    for (File file : core.folder.resolve("data").toFile().listFiles()) {
      file.delete();
    }
  }
}
