package org.teaseltrail.core.replication;

import org.teaseltrail.core.id.StringId;

/**
 * Identifies a group of control members that share one log.
 *
 * @param value the text of the id
 */
public record GroupId(String value) implements StringId {

  /** Validates the text of the id. */
  public GroupId {
    StringId.checked(value, "group id");
  }

  @Override
  public String toString() {
    return value;
  }
}
