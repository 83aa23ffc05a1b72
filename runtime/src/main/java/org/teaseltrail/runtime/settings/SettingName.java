package org.teaseltrail.runtime.settings;

/**
 * Names a setting by its place in the file.
 *
 * @param section the section, without brackets
 * @param key the key in the section
 */
public record SettingName(String section, String key) {

  @Override
  public String toString() {
    return "[" + section + "] " + key;
  }
}
