package org.teaseltrail.core.id;

/**
 * Identifies a data centre.
 *
 * @param value the text of the id
 */
public record DataCenterId(String value) implements StringId {

  /** Validates the text. */
  public DataCenterId {
    StringId.checked(value, "data centre id");
  }

  @Override
  public String toString() {
    return value;
  }
}
