package org.teaseltrail.standin.model;

/**
 * Gives profiles for four generations of hardware. The steps of the newest two are those of the
 * users' deployments (2.5 and 4 ms or more); the rest is assumed so that generations differ about
 * fourfold.
 */
public enum HardwareGeneration {
  /** The oldest. */
  GENERATION_1(new HardwareProfile(9.0, 0.225, 0.135, 8, 512, 60_000)),
  /** The second. */
  GENERATION_2(new HardwareProfile(6.5, 0.163, 0.098, 12, 512, 80_000)),
  /** The third. */
  GENERATION_3(new HardwareProfile(4.0, 0.1, 0.06, 16, 512, 120_000)),
  /** The newest. */
  GENERATION_4(new HardwareProfile(2.5, 0.063, 0.038, 24, 512, 240_000));

  private final HardwareProfile profile;

  HardwareGeneration(HardwareProfile profile) {
    this.profile = profile;
  }

  /**
   * Returns its figures.
   *
   * @return the profile
   */
  public HardwareProfile profile() {
    return profile;
  }
}
