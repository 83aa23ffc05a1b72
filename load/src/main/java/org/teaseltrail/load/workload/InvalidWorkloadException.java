package org.teaseltrail.load.workload;

/** Thrown when a workload file is missing or invalid. */
public final class InvalidWorkloadException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a reason. */
  public InvalidWorkloadException(String reason) {
    super(reason);
  }

  /** Creates an exception with a reason and a cause. */
  public InvalidWorkloadException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
