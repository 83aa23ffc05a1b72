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

  @Override
  public boolean equals(Object other) {
    return other instanceof MemberId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
