package org.teaseltrail.core.id;

/**
 * Names a data centre.
 *
 * @param value the text of the id
 */
public record DataCenterId(String value) implements StringId {

  /** Checks the text. */
  public DataCenterId {
    StringId.checked(value, "data centre id");
  }

  @Override
  public String toString() {
    return value;
  }
}
