package org.teaseltrail.core.id;

/**
 * Identifies a model.
 *
 * @param value the text of the id
 */
public record ModelId(String value) implements StringId {

  /** Validates the text. */
  public ModelId {
    StringId.checked(value, "model id");
  }

  @Override
  public String toString() {
    return value;
  }
}
