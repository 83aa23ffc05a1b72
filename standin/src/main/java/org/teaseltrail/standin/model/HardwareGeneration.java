package org.teaseltrail.standin.model;

/**
 * Hardware profiles of four accelerator generations. The step times of the newest two are those of
 * production deployments (2.5 and 4 ms or more). The other values are assumptions, chosen so that
 * the oldest and the newest generation differ by about a factor of four.
 */
public enum HardwareGeneration {
  /** The oldest generation. */
  GENERATION_1(new HardwareProfile(9.0, 0.225, 0.135, 8, 512, 60_000)),
  /** The second oldest generation. */
  GENERATION_2(new HardwareProfile(6.5, 0.163, 0.098, 12, 512, 80_000)),
  /** The third. */
  GENERATION_3(new HardwareProfile(4.0, 0.1, 0.06, 16, 512, 120_000)),
  /** The newest generation. */
  GENERATION_4(new HardwareProfile(2.5, 0.063, 0.038, 24, 512, 240_000));

  private final HardwareProfile profile;

  HardwareGeneration(HardwareProfile profile) {
    this.profile = profile;
  }

  /**
   * Returns the generation's hardware profile.
   *
   * @return the profile
   */
  public HardwareProfile profile() {
    return profile;
  }
}
