package org.teaseltrail.runtime.settings;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.teaseltrail.runtime.log.LogSettings;

/**
 * Specification of all settings of a program, in the order of its example file.
 *
 * @param program the program's name, which is also the name of its start script
 * @param summary what the program does, in one sentence
 * @param settings the declarations; their names are unique
 */
public record SettingsSpec(String program, String summary, List<Setting<?>> settings) {

  /** Copies the list. */
  public SettingsSpec {
    settings = List.copyOf(settings);
  }

  /**
   * Creates a specification of a program's settings followed by the logging settings.
   *
   * @param program the program's name
   * @param summary what the program does, in one sentence
   * @param settings the program's own declarations
   * @return the specification
   */
  public static SettingsSpec of(String program, String summary, Setting<?>... settings) {
    List<Setting<?>> all = new ArrayList<>(List.of(settings));
    all.addAll(LogSettings.ALL);
    return new SettingsSpec(program, summary, all);
  }

  /**
   * Returns the sections in the order of the file.
   *
   * @return the names, without brackets
   */
  public Set<String> sections() {
    return settings.stream()
        .map(setting -> setting.name().section())
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }

  /**
   * Returns the settings of a section in the order of the file.
   *
   * @param section the section
   * @return its settings
   */
  public List<Setting<?>> settingsInSection(String section) {
    return settings.stream()
        .filter(setting -> setting.name().section().equals(section))
        .collect(Collectors.toList());
  }

  Optional<Setting<?>> find(SettingName name) {
    return settings.stream().filter(setting -> setting.name().equals(name)).findFirst();
  }
}
