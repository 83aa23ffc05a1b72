package org.teaseltrail.control;

/** Starts a control member. */
public final class ControlMain {

  private ControlMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    throw new UnsupportedOperationException("not built yet");
  }
}
