package org.teaseltrail.core.id;

/**
 * Names a route, from what callers ask for to a pool.
 *
 * @param value the text of the id
 */
public record RouteId(String value) implements StringId {

  /** Checks the text. */
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
