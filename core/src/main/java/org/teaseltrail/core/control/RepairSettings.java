package org.teaseltrail.core.control;

/**
 * Settings of the automatic repair of a control group's membership.
 *
 * @param targetVoters target number of voters: twice the number of members that may be lost, plus
 *     one
 * @param voterTimeoutMs time without a response after which a voter is replaced by a learner that
 *     has caught up, in milliseconds
 * @param learnerTimeoutMs time without a response after which a learner is removed, in milliseconds
 */
public record RepairSettings(int targetVoters, long voterTimeoutMs, long learnerTimeoutMs) {

  /**
   * Returns settings for a number of tolerated losses. A voter times out after 2 s: four times the
   * minimum election timeout, and short enough to replace a member within the 4 s that a deployment
   * allows a new member to catch up.
   *
   * @param toleratedLosses number of members that may be lost at once
   * @return the settings
   */
  public static RepairSettings tolerating(int toleratedLosses) {
    return new RepairSettings(2 * toleratedLosses + 1, 2_000, 6_000);
  }
}
