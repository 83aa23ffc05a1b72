package org.teaseltrail.load.policy;

/** Thrown when a run failed or was interrupted. */
public final class ExperimentFailedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception for a policy in a scenario. */
  public ExperimentFailedException(Policy policy, Scenario scenario, Throwable cause) {
    super(
        "policy "
            + policy.name()
            + " failed in the scenario with load "
            + scenario.load()
            + ", fault "
            + scenario.fault(),
        cause);
  }
}
