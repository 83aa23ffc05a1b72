package org.teaseltrail.core.id;

/**
 * Identifies a route, which maps a requested model or service to a pool.
 *
 * @param value the text of the id
 */
public record RouteId(String value) implements StringId {

  /** Validates the text. */
  public RouteId {
    StringId.checked(value, "route id");
  }

  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RouteId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
