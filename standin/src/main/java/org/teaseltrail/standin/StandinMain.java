package org.teaseltrail.standin;

import org.teaseltrail.runtime.process.ProgramMain;

/** Entry point of the simulated upstream. */
public final class StandinMain {

  private StandinMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    ProgramMain.main(new StandinProgram(), args);
  }
}
