package org.teaseltrail.entry;

/** Starts the program of an entry VM. */
public final class EntryMain {

  private EntryMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    throw new UnsupportedOperationException("not built yet");
  }
}
