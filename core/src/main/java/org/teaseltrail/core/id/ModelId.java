package org.teaseltrail.core.id;

/**
 * Names a model.
 *
 * @param value the text of the id
 */
public record ModelId(String value) implements StringId {

  /** Checks the text. */
  public ModelId {
    StringId.checked(value, "model id");
  }

  @Override
  public String toString() {
    return value;
  }
}
