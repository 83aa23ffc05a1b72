package org.teaseltrail.core.id;

/**
 * Identifies a version of a model.
 *
 * @param value the text of the id
 */
public record ModelVersion(String value) implements StringId {

  /** Validates the text. */
  public ModelVersion {
    StringId.checked(value, "model version");
  }

  @Override
  public String toString() {
    return value;
  }
}
