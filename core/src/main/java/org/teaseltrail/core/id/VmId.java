package org.teaseltrail.core.id;

/**
 * Identifies a VM of the system by the name in its settings.
 *
 * @param value the text of the id
 */
public record VmId(String value) implements StringId {

  /** Validates the text. */
  public VmId {
    StringId.checked(value, "VM id");
  }

  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof VmId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
