package org.teaseltrail.core.id;

/**
 * Identifies a version of the software that an upstream runs.
 *
 * @param value the text of the id
 */
public record UpstreamVersion(String value) implements StringId {

  /** Validates the text. */
  public UpstreamVersion {
    StringId.checked(value, "upstream version");
  }

  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof UpstreamVersion id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
