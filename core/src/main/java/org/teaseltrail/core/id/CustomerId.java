package org.teaseltrail.core.id;

/**
 * Identifies a customer, who pays for a tier.
 *
 * @param value the text of the id
 */
public record CustomerId(String value) implements StringId {

  /** Validates the text. */
  public CustomerId {
    StringId.checked(value, "customer id");
  }

  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof CustomerId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
