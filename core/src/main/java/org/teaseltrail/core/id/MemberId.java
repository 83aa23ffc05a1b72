package org.teaseltrail.core.id;

/**
 * Names a control member; a member with a lost disk comes back under a new one.
 *
 * @param value the text of the id
 */
public record MemberId(String value) implements StringId {

  /** Checks the text. */
  public MemberId {
    StringId.checked(value, "member id");
  }

  @Override
  public String toString() {
    return value;
  }
}
