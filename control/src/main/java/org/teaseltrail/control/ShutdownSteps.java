package org.teaseltrail.control;

/** Runs the steps of a shutdown in their order; a step that fails doesn't keep back the others. */
final class ShutdownSteps {

  private RuntimeException failure;

  ShutdownSteps run(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      if (failure == null) {
        failure = e;
      } else {
        failure.addSuppressed(e);
      }
    }
    return this;
  }

  /** Throws the first failure, if there was one, with the later ones as suppressed exceptions. */
  void throwFailure() {
    if (failure != null) {
      throw failure;
    }
  }
}
