package org.teaseltrail.core.replication;

/** Tells that settings of replication don't fit one another. */
public final class InvalidReplicaSettingsException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  /** Creates the failure with what is needed. */
  public InvalidReplicaSettingsException(String need) {
    super("replica settings: " + need);
  }
}
