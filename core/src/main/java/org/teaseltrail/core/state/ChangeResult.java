package org.teaseltrail.core.state;

import org.teaseltrail.core.configuration.ConfigurationFailure;
import org.teaseltrail.core.id.ChangeId;
import org.teaseltrail.core.id.Revision;

/** Is what a change of the configuration came to. */
public sealed interface ChangeResult {

  /**
   * The change is accepted.
   *
   * @param revision the configuration's revision with it
   */
  record Accepted(Revision revision) implements ChangeResult {}

  /**
   * Another change came first.
   *
   * @param present the revision that the operator did not know of
   */
  record RevisionConflict(Revision present) implements ChangeResult {}

  /**
   * The change id was used for another change.
   *
   * @param change the change id
   */
  record ChangeIdConflict(ChangeId change) implements ChangeResult {}

  /**
   * The change breaks a rule of the configuration.
   *
   * @param failure the rule
   */
  record Refused(ConfigurationFailure failure) implements ChangeResult {}
}
