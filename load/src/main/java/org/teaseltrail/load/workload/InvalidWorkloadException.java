package org.teaseltrail.load.workload;

/** Tells that a workload file is missing or says something that can't be. */
public final class InvalidWorkloadException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  /** Creates the failure with its reason. */
  public InvalidWorkloadException(String reason) {
    super(reason);
  }

  /** Creates the failure with its reason and cause. */
  public InvalidWorkloadException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
