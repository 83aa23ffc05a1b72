package org.teaseltrail.core.id;

/**
 * Identifies an upstream: a model engine or a plain service that executes requests.
 *
 * @param value the text of the id
 */
public record UpstreamId(String value) implements StringId {

  /** Validates the text. */
  public UpstreamId {
    StringId.checked(value, "upstream id");
  }

  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof UpstreamId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
