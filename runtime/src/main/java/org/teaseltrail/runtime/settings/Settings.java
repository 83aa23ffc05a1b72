package org.teaseltrail.runtime.settings;

import java.util.Map;

/** Validated values of a settings file. */
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
   * @param setting a declaration that is part of the program's settings
   * @param <T> the type of the value
   * @return the value
   * @throws UndeclaredSettingException if the program does not declare the setting
   */
  @SuppressWarnings("unchecked")
  public <T> T get(Setting<T> setting) {
    if (!spec.settings().contains(setting)) {
      throw new UndeclaredSettingException(setting.name());
    }
    // The cast is safe: the reader stored the value that the kind of this declaration parsed.
    return (T) values.get(setting.name());
  }
}
