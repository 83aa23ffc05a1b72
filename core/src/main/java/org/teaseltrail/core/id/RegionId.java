package org.teaseltrail.core.id;

/**
 * Identifies a region, which holds one or more data centres.
 *
 * @param value the text of the id
 */
public record RegionId(String value) implements StringId {

  /** Validates the text. */
  public RegionId {
    StringId.checked(value, "region id");
  }

  @Override
  public String toString() {
    return value;
  }
}
