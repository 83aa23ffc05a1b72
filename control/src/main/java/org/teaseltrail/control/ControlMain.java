package org.teaseltrail.control;

import org.teaseltrail.runtime.process.ProgramMain;

/** Entry point of the control member's daemon. */
public final class ControlMain {

  private ControlMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    ProgramMain.main(new ControlProgram(), args);
  }
}
