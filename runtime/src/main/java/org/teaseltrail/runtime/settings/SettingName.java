package org.teaseltrail.runtime.settings;

/**
 * Names a setting by its place in the file.
 *
 * @param section the section, without brackets
 * @param key the key in the section
 */
public record SettingName(String section, String key) {

  /** Written out: a record's own is made anew at each start, and is the first of its kind there. */
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
