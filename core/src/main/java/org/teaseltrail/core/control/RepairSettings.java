package org.teaseltrail.core.control;

/**
 * Sets how a control group forms and repairs itself.
 *
 * @param targetVoters voters that the group wants; twice the members that may be lost, and one
 * @param voterTimeoutMs silence after which a voter gives its place to a learner that has caught
 *     up, in milliseconds
 * @param learnerTimeoutMs silence after which a learner is taken out, in milliseconds
 */
public record RepairSettings(int targetVoters, long voterTimeoutMs, long learnerTimeoutMs) {

  /**
   * Returns settings for a number of losses. A voter counts as silent after 2 s: four election
   * timeouts' least value, and so little that a replaced member is out of the group within the 4 s
   * that the users' deployments give a new one to catch up.
   *
   * @param toleratedLosses members that may be lost at once
   * @return the settings
   */
  public static RepairSettings tolerating(int toleratedLosses) {
    return new RepairSettings(2 * toleratedLosses + 1, 2_000, 6_000);
  }
}
