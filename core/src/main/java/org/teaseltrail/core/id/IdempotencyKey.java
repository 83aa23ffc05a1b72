package org.teaseltrail.core.id;

/**
 * Idempotency key under which at most one request of a customer is executed.
 *
 * @param value the text of the id
 */
public record IdempotencyKey(String value) implements StringId {

  /** Validates the text. */
  public IdempotencyKey {
    StringId.checked(value, "idempotency key");
  }

  @Override
  public String toString() {
    return value;
  }
}
