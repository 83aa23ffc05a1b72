package org.teaseltrail.core.id;

/**
 * Names a VM of the system for as long as its settings name it so.
 *
 * @param value the text of the id
 */
public record VmId(String value) implements StringId {

  /** Checks the text. */
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
