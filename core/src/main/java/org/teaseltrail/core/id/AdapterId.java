package org.teaseltrail.core.id;

/**
 * Identifies an adapter of a model.
 *
 * @param value the text of the id
 */
public record AdapterId(String value) implements StringId {

  /** Validates the text. */
  public AdapterId {
    StringId.checked(value, "adapter id");
  }

  @Override
  public String toString() {
    return value;
  }
}
