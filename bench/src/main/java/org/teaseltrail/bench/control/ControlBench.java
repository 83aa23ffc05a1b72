package org.teaseltrail.bench.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Runs the measurements of the shared state and prints them as CSV.
 *
 * <p>Arguments: the folder for the members' data, which should lie on the disk to be measured.
 */
public final class ControlBench {

  private ControlBench() {}

  /**
   * Runs all.
   *
   * @param args the folder
   * @throws IOException if the folder can't be used
   */
  public static void main(String[] args) throws IOException {
    Path folder = Files.createTempDirectory(Path.of(args[0]), "control-bench");
    new SizeBench().run(System.out);
    RestartBench.run(folder, System.out);
    new ClaimBench().run(folder.resolve("one"), 1, System.out);
    new ClaimBench().run(folder.resolve("three"), 3, System.out);
  }
}
