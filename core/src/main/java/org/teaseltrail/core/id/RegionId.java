package org.teaseltrail.core.id;

/**
 * Names a region, which holds one or more data centres.
 *
 * @param value the text of the id
 */
public record RegionId(String value) implements StringId {

  /** Checks the text. */
  public RegionId {
    StringId.checked(value, "region id");
  }

  @Override
  public String toString() {
    return value;
  }
}
