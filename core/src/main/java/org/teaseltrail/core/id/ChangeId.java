package org.teaseltrail.core.id;

/**
 * Identifies a change sent by an operator; a retry has the same id.
 *
 * @param value the text of the id
 */
public record ChangeId(String value) implements StringId {

  /** Validates the text. */
  public ChangeId {
    StringId.checked(value, "change id");
  }

  @Override
  public String toString() {
    return value;
  }
}
