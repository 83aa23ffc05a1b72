package org.teaseltrail.runtime.settings;

import java.util.Map;

/** Holds the checked values of a settings file. */
public final class Settings {

  private final SettingsSpec spec;
  private final Map<SettingName, Object> values;

  Settings(SettingsSpec spec, Map<SettingName, Object> values) {
    this.spec = spec;
    this.values = Map.copyOf(values);
  }

  /**
   * Returns the value of a setting, or its default.
   *
   * @param setting a declaration of the program's own list
   * @param <T> the type of the value
   * @return the value
   * @throws UndeclaredSettingException if the program did not declare the setting
   */
  @SuppressWarnings("unchecked")
  public <T> T get(Setting<T> setting) {
    if (!spec.settings().contains(setting)) {
      throw new UndeclaredSettingException(setting.name());
    }
    // The reader stored what the kind of this very declaration returned.
    return (T) values.get(setting.name());
  }
}
