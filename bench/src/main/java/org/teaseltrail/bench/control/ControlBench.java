package org.teaseltrail.bench.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Runs the benchmarks of the replicated state and prints the results as CSV.
 *
 * <p>Argument: the folder for the members' data, which should be on the disk to be measured.
 */
public final class ControlBench {

  private ControlBench() {}

  /**
   * Runs all benchmarks.
   *
   * @param args the folder
   * @throws IOException if the folder is not accessible
   */
  public static void main(String[] args) throws IOException {
    Path folder = Files.createTempDirectory(Path.of(args[0]), "control-bench");
    new SizeBench().run(System.out);
    RestartBench.run(folder, System.out);
    new ClaimBench().run(folder.resolve("one"), 1, System.out);
    new ClaimBench().run(folder.resolve("three"), 3, System.out);
  }
}
