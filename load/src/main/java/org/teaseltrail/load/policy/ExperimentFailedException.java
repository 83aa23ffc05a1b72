package org.teaseltrail.load.policy;

/** Tells that a run could not be brought to its end. */
public final class ExperimentFailedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the failure of a policy in a scenario. */
  public ExperimentFailedException(Policy policy, Scenario scenario, Throwable cause) {
    super(
        "policy " + policy.name() + " failed at load " + scenario.load() + ", " + scenario.fault(),
        cause);
  }
}
