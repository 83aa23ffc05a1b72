package org.teaseltrail.core.state;

import org.teaseltrail.core.configuration.ConfigurationFailure;
import org.teaseltrail.core.id.ChangeId;
import org.teaseltrail.core.id.Revision;

/** Result of a configuration change. */
public sealed interface ChangeResult {

  /**
   * The change is accepted.
   *
   * @param revision revision of the configuration after the change
   */
  record Accepted(Revision revision) implements ChangeResult {}

  /**
   * The expected revision isn't the current one because of another change.
   *
   * @param present the current revision
   */
  record RevisionConflict(Revision present) implements ChangeResult {}

  /**
   * The change id has already been used for a change with different content.
   *
   * @param change the change id
   */
  record ChangeIdConflict(ChangeId change) implements ChangeResult {}

  /**
   * The change violates a rule of the configuration.
   *
   * @param failure the violated rule
   */
  record Refused(ConfigurationFailure failure) implements ChangeResult {}
}
