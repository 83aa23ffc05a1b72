package org.teaseltrail.core.id;

/**
 * Identifies a plain service.
 *
 * @param value the text of the id
 */
public record ServiceId(String value) implements StringId {

  /** Validates the text. */
  public ServiceId {
    StringId.checked(value, "service id");
  }

  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ServiceId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
