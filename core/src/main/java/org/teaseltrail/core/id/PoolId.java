package org.teaseltrail.core.id;

/**
 * Names a pool: the set of upstreams that can serve one route.
 *
 * @param value the text of the id
 */
public record PoolId(String value) implements StringId {

  /** Checks the text. */
  public PoolId {
    StringId.checked(value, "pool id");
  }

  @Override
  public String toString() {
    return value;
  }
}
