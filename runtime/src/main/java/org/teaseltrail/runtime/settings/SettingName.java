package org.teaseltrail.runtime.settings;

/**
 * Name of a setting: its section and key.
 *
 * @param section the section, without brackets
 * @param key the key in the section
 */
public record SettingName(String section, String key) {

  /**
   * Implemented explicitly, because the generated method of a record is linked at run time at each
   * start, and this would be the first use of that mechanism in the process.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof SettingName name
        && section.equals(name.section)
        && key.equals(name.key);
  }

  @Override
  public int hashCode() {
    return 31 * section.hashCode() + key.hashCode();
  }

  @Override
  public String toString() {
    return "[" + section + "] " + key;
  }
}
