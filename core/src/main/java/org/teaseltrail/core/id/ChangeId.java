package org.teaseltrail.core.id;

/**
 * Names a change an operator sends; a resend carries the same one.
 *
 * @param value the text of the id
 */
public record ChangeId(String value) implements StringId {

  /** Checks the text. */
  public ChangeId {
    StringId.checked(value, "change id");
  }

  @Override
  public String toString() {
    return value;
  }
}
