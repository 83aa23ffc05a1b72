package org.teaseltrail.core.id;

/**
 * Names a plain service.
 *
 * @param value the text of the id
 */
public record ServiceId(String value) implements StringId {

  /** Checks the text. */
  public ServiceId {
    StringId.checked(value, "service id");
  }

  @Override
  public String toString() {
    return value;
  }
}
