package org.teaseltrail.core.id;

/**
 * Identifies a pool: the set of upstreams that can serve one route.
 *
 * @param value the text of the id
 */
public record PoolId(String value) implements StringId {

  /** Validates the text. */
  public PoolId {
    StringId.checked(value, "pool id");
  }

  @Override
  public String toString() {
    return value;
  }
}
