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
}
