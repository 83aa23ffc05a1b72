package org.teaseltrail.core.id;

/**
 * Identifies a control member; a member that has lost its disk rejoins under a new id.
 *
 * @param value the text of the id
 */
public record MemberId(String value) implements StringId {

  /** Validates the text. */
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
