package org.teaseltrail.cli;

/** Starts the command line of an operator. */
public final class CliMain {

  private CliMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    throw new UnsupportedOperationException("not built yet");
  }
}
