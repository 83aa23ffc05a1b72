package org.teaseltrail.core.id;

/**
 * Names an upstream: an engine or a plain service that does the work.
 *
 * @param value the text of the id
 */
public record UpstreamId(String value) implements StringId {

  /** Checks the text. */
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
