import java.io.*;
import java.nio.file.*;
import java.util.*;

/** What a case sent, was answered and ran: record.txt in the folder of the case. */
final class Record {
  private final PrintWriter out;
  private final long startNs = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void line(String text) {
    String stamped =
        String.format(Locale.ROOT, "%7.3f s  %s", (System.nanoTime() - startNs) / 1e9, text);
    out.println(stamped);
    out.flush();
    System.out.println(stamped);
  }

  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
  static void run(String file, Case toRun) throws Exception {
    Record record = new Record(Path.of(file));
    record.line(hasTrouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
    int code;
    try {
      code = toRun.run(record) ? 1 : 0;
    } catch (Throwable e) {
      record.line("could not run: " + e);
      e.printStackTrace();
      code = 2;
    }
    record.line("exit " + code);
    System.exit(code);
  }

  /** A case; returns whether the rule was broken. */
  interface Case {
    boolean run(Record record) throws Exception;
  }
}
