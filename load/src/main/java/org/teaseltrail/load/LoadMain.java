package org.teaseltrail.load;

/** Starts the load and experiment tool. */
public final class LoadMain {

  private LoadMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    throw new UnsupportedOperationException("not built yet");
  }
}
