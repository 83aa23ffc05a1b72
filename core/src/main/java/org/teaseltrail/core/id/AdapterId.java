package org.teaseltrail.core.id;

/**
 * Names an adapter of a model.
 *
 * @param value the text of the id
 */
public record AdapterId(String value) implements StringId {

  /** Checks the text. */
  public AdapterId {
    StringId.checked(value, "adapter id");
  }

  @Override
  public String toString() {
    return value;
  }
}
