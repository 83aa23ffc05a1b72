package org.teaseltrail.entry;

import org.teaseltrail.runtime.process.ProgramMain;

/** Starts the program of an entry VM. */
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
