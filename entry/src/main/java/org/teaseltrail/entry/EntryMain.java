package org.teaseltrail.entry;

import org.teaseltrail.runtime.process.ProgramMain;

/** Main class of an entry VM's daemon. */
public final class EntryMain {

  private EntryMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    ProgramMain.main(new EntryProgram(), args);
  }
}
