package org.teaseltrail.core.replication;

/** Thrown if the replication settings are inconsistent. */
public final class InvalidReplicaSettingsException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception for a requirement that isn't met. */
  public InvalidReplicaSettingsException(String requirement) {
    super("replica settings: " + requirement);
  }
}
