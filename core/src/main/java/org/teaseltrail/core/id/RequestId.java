package org.teaseltrail.core.id;

/**
 * Identifies a request of a caller; unique across all VMs and their restarts.
 *
 * @param value the text of the id
 */
public record RequestId(String value) implements StringId {

  /** Validates the text. */
  public RequestId {
    StringId.checked(value, "request id");
  }

  @Override
  public String toString() {
    return value;
  }
}
