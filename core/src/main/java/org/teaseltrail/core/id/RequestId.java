package org.teaseltrail.core.id;

/**
 * Names one request of a caller; unique over all VMs and their restarts.
 *
 * @param value the text of the id
 */
public record RequestId(String value) implements StringId {

  /** Checks the text. */
  public RequestId {
    StringId.checked(value, "request id");
  }

  @Override
  public String toString() {
    return value;
  }
}
