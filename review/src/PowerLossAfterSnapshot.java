import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Case 3: core machines lose power, one after the other, some time after they have removed files of
 * their log. The stand-in for the disk does what DEPLOY.md says of such a loss: a removed name whose
 * folder hasn't been synced since may be kept.
 */
final class PowerLossAfterSnapshot {

  private static final int ROUTES = 8;
  private static final long FAST_CHANGES = 9_900;
  private static final int ORDERS_AT_ONCE = 8;
  private static final int SLOW_ORDERS_AT_ONCE = 3;
  private static final long GAP_MS = 5;
  private static final long LAST_CHANGE_S = 85;
  private static final long DOWN_MS = 1_000;
  private static final long CATCH_UP_MS = 4_000;
  private static final int LOST_AT_ONCE = 2;
  private static final int LOSSES = 3;

  /** Time from the removal of files to the loss of power; no window of milliseconds is needed. */
  private static final long UNSYNCED_MS = 500;

  private static final long READ_BACK_MS = 16_000;

  /** What is known of the disk of one machine. */
  private static final class Disk {
    final Lab.Machine machine;
    final Path data;
    final Path kept;
    final Set<String> seen = new TreeSet<>();
    Set<String> removed = new TreeSet<>();
    Set<String> namesAtRemoval = Set.of();
    FileTime voteAtRemoval;
    FileTime voteBefore;
    boolean isClear;
    long removedNs;
    long backNs = Long.MIN_VALUE;
    boolean down;
    boolean done;

    Disk(Lab lab, Lab.Machine machine) throws IOException {
      this.machine = machine;
      data = machine.folder.resolve("data");
      kept = Files.createDirectories(lab.folder.resolve("kept-" + machine.name));
    }

    Set<String> names() throws IOException {
      try (Stream<Path> files = Files.list(data)) {
        return files
            .map(file -> file.getFileName().toString())
            .filter(name -> name.startsWith("log-") || name.startsWith("snapshot-"))
            .collect(Collectors.toCollection(TreeSet::new));
      }
    }

    /** Looks for new and for removed files; keeps a link to each file of the log. */
    void look() throws IOException {
      Set<String> names = names();
      FileTime vote = Files.getLastModifiedTime(data.resolve("vote"));
      boolean isFileMade = false;
      for (String name : names) {
        if (name.startsWith("log-") && seen.add(name)) {
          Files.createLink(kept.resolve(name), data.resolve(name));
          isFileMade = true;
        }
      }
      Set<String> gone = new TreeSet<>(seen);
      gone.removeAll(names);
      if (gone.size() > removed.size()) {
        removed = gone;
        namesAtRemoval = names;
        voteAtRemoval = vote;
        // What was made since the look before may have come after the removal.
        isClear = !isFileMade && vote.equals(voteBefore);
        removedNs = System.nanoTime();
      }
      voteBefore = vote;
    }

    /**
     * Returns whether the folder can't have been synced since the removal: the program syncs it
     * when it makes or renames a file there, and none has come since.
     */
    boolean isRemovalUnsynced() throws IOException {
      return removed.size() >= 2
          && isClear
          && names().equals(namesAtRemoval)
          && Files.getLastModifiedTime(data.resolve("vote")).equals(voteAtRemoval);
    }

    boolean counts(long nowNs) {
      return down || (backNs != Long.MIN_VALUE && nowNs - backNs < CATCH_UP_MS * 1_000_000);
    }
  }

  private PowerLossAfterSnapshot() {}

  public static void main(String[] args) throws Exception {
    int code = 2;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      code = play(lab);
    } catch (Exception e) {
      System.out.println("can't run: " + e);
      e.printStackTrace(System.out);
    }
    System.exit(code);
  }

  private static int play(Lab lab) throws Exception {
    List<Lab.Machine> cores = new ArrayList<>();
    for (int i = 1; i <= 5; i++) {
      cores.add(lab.core(i));
    }
    lab.seeds = cores.stream().limit(3).map(core -> core.ip + ":" + lab.control).toList();
    List<Disk> disks = new ArrayList<>();
    for (Lab.Machine core : cores) {
      lab.start(core);
      disks.add(new Disk(lab, core));
    }
    Lab.Answer first = put(lab, 1, 20_000);
    lab.note("sent version 1, " + ROUTES + " routes: " + first);
    if (first.status != 200) {
      return 2;
    }
    AtomicLong version = new AtomicLong(1);
    AtomicLong acknowledged = new AtomicLong(1);
    AtomicBoolean stop = new AtomicBoolean();
    AtomicInteger unanswered = new AtomicInteger();
    ExecutorService operators = Executors.newFixedThreadPool(ORDERS_AT_ONCE);
    for (int i = 0; i < ORDERS_AT_ONCE; i++) {
      boolean goesOn = i < SLOW_ORDERS_AT_ONCE;
      operators.submit(
          () -> {
            while (!stop.get() && (goesOn || version.get() < FAST_CHANGES)) {
              long next = version.incrementAndGet();
              if (put(lab, next, 6_000).status == 200) {
                acknowledged.accumulateAndGet(next, Math::max);
                unanswered.set(0);
              } else {
                lab.note("version " + next + " isn't acknowledged within 6 s");
                unanswered.incrementAndGet();
              }
              Lab.sleep(version.get() < FAST_CHANGES ? 0 : GAP_MS);
            }
          });
    }
    operators.shutdown();
    int losses = 0;
    while (losses < LOSSES && lab.seconds() < LAST_CHANGE_S && unanswered.get() < 3) {
      for (Disk disk : disks) {
        if (disk.done) {
          continue;
        }
        disk.look();
        boolean isDue =
            disk.removed.size() >= 2
                && System.nanoTime() - disk.removedNs > UNSYNCED_MS * 1_000_000;
        long lost = disks.stream().filter(other -> other.counts(System.nanoTime())).count();
        if (!isDue || lost >= LOST_AT_ONCE || losses == LOSSES) {
          continue;
        }
        disk.done = true;
        if (!Lab.trouble()) {
          losses++;
          lab.note(disk.machine.name + " has removed " + disk.removed + " and goes on");
        } else if (disk.isRemovalUnsynced()) {
          losses++;
          losePower(lab, disk);
        } else {
          lab.note(disk.machine.name + ": its folder may have been synced since; left alone");
        }
      }
      Lab.sleep(20);
    }
    stop.set(true);
    operators.awaitTermination(8, TimeUnit.SECONDS);
    Lab.sleep(4 * DOWN_MS);
    lab.note("reading back for " + READ_BACK_MS / 1_000 + " s; newest acknowledged version " + acknowledged);
    long end = System.nanoTime() + READ_BACK_MS * 1_000_000;
    long read = -1;
    Lab.Answer last = new Lab.Answer();
    while (System.nanoTime() < end && read < acknowledged.get()) {
      last = lab.operator("GET", "/v1/config", null, 2_000);
      read = last.status == 200 ? ManyChanges.versionOf(last.text()) : -1;
    }
    lab.note("read back: " + last + (read < 0 ? "" : ", version " + read));
    for (Lab.Machine core : cores) {
      lab.note(core.name + " ended by itself " + core.ownEnds + " times");
      for (String line : lastErrors(core)) {
        lab.note("log of " + core.name + ": " + line.replace(lab.folder.toString(), ""));
      }
    }
    boolean isKept = "0".equals(System.getenv("KEPT"));
    if (Lab.trouble() && !isKept && losses < LOSSES && read >= acknowledged.get()) {
      lab.note("only " + losses + " machines had unsynced removals: couldn't run");
      return 2;
    }
    boolean held = read >= acknowledged.get();
    lab.note(
        held
            ? "CONFIG held: version " + acknowledged + " or a newer one was read back"
            : "CONFIG broken: version " + acknowledged + " was acknowledged and isn't read back");
    return held ? 0 : 1;
  }

  /** The machine loses power; it is back after a second with what its disk has kept. */
  private static void losePower(Lab lab, Disk disk) throws Exception {
    lab.kill(disk.machine);
    disk.down = true;
    lab.note(
        disk.machine.name + " loses power, " + (System.nanoTime() - disk.removedNs) / 1_000_000
            + " ms after it removed " + disk.removed);
    if (!"0".equals(System.getenv("KEPT"))) {
      String back = disk.removed.iterator().next();
      Files.createLink(disk.data.resolve(back), disk.kept.resolve(back));
      lab.note("the removal of " + back + " wasn't synced and is lost with the power");
    }
    Thread later =
        new Thread(
            () -> {
              Lab.sleep(DOWN_MS);
              try {
                disk.machine.bootstrap = false;
                lab.start(disk.machine);
                disk.machine.restarts = true;
                disk.down = false;
                disk.backNs = System.nanoTime();
                lab.note(disk.machine.name + " is back");
              } catch (IOException e) {
                lab.note("can't start " + disk.machine.name + ": " + e);
              }
            });
    later.setDaemon(true);
    later.start();
  }

  private static List<String> lastErrors(Lab.Machine core) throws IOException {
    Map<String, Integer> lines = new LinkedHashMap<>();
    for (String line : Files.readAllLines(core.folder.resolve("log"))) {
      if (line.contains("can't be used") || line.contains("CorruptFolder")) {
        lines.merge(line.replaceAll("\"time\":\"[^\"]*\",", "").replaceAll("^\\S+ \\S+ ", ""), 1, Integer::sum);
      }
    }
    return lines.entrySet().stream()
        .map(entry -> entry.getValue() + " x " + entry.getKey())
        .limit(3)
        .toList();
  }

  private static Lab.Answer put(Lab lab, long version, long forMs) {
    return lab.operator(
        "PUT", "/v1/config", ManyChanges.bytes(ManyChanges.plan(version, ROUTES)), forMs);
  }
}
