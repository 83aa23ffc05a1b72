package org.teaseltrail.core.id;

/**
 * Is the key under which a customer lets a request run at most once.
 *
 * @param value the text of the id
 */
public record IdempotencyKey(String value) implements StringId {

  /** Checks the text. */
  public IdempotencyKey {
    StringId.checked(value, "idempotency key");
  }

  @Override
  public String toString() {
    return value;
  }
}
