package org.teaseltrail.runtime.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Reads a settings file and validates it completely against a program's declarations.
 *
 * <p>Example: {@code Settings settings = new SettingsReader(SPEC).read(Path.of("entry.ini"));}
 */
public final class SettingsReader {

  private final SettingsSpec spec;

  /**
   * Creates a reader.
   *
   * @param spec the program's settings
   */
  public SettingsReader(SettingsSpec spec) {
    this.spec = spec;
  }

  /**
   * Reads and validates a file.
   *
   * @param file the file
   * @return the values
   * @throws InvalidSettingsException if the file is invalid; lists all problems
   */
  public Settings read(Path file) throws InvalidSettingsException {
    Validation validation = new Validation(file);
    try {
      validation.document(IniDocument.read(file));
    } catch (IOException e) {
      validation.addProblem(
          SettingsProblemKind.FILE_UNREADABLE, OptionalInt.empty(), Optional.empty(), e.toString());
    }
    if (!validation.problems.isEmpty()) {
      throw new InvalidSettingsException(validation.problems);
    }
    return new Settings(spec, validation.values);
  }

  /** Collects the values and the problems of one file. */
  private final class Validation {

    private final Path file;
    private final List<SettingsProblem> problems = new ArrayList<>();
    private final Map<SettingName, Object> values = new HashMap<>();
    private final Set<SettingName> seen = new HashSet<>();

    Validation(Path file) {
      this.file = file;
    }

    void document(IniDocument document) {
      document.sections().forEach(this::checkSection);
      document.entries().forEach(this::entry);
      document
          .malformedLine()
          .ifPresent(
              line ->
                  addProblem(
                      SettingsProblemKind.MALFORMED_LINE,
                      OptionalInt.of(line),
                      Optional.empty(),
                      "neither [section], key = value nor comment; nothing below it was read"));
      spec.settings().forEach(this::applyDefault);
    }

    private void checkSection(IniSection section) {
      // The parser reports keys above the first section under an empty name.
      if (!spec.sections().contains(section.name()) && !section.name().isEmpty()) {
        addProblem(
            SettingsProblemKind.UNKNOWN_SECTION,
            OptionalInt.of(section.line()),
            Optional.empty(),
            "[" + section.name() + "]; known are " + spec.sections());
      }
    }

    private void entry(IniEntry entry) {
      OptionalInt line = OptionalInt.of(entry.line());
      Optional<Setting<?>> setting = spec.find(entry.name());
      if (setting.isEmpty()) {
        unknown(entry, line);
        return;
      }
      if (!seen.add(entry.name())) {
        addProblem(SettingsProblemKind.DUPLICATE_KEY, line, setting, "stands above already");
        return;
      }
      value(setting.get(), entry.text(), line);
    }

    private void unknown(IniEntry entry, OptionalInt line) {
      if (entry.name().section().isEmpty()) {
        String detail = "'" + entry.name().key() + "' stands in no section";
        addProblem(SettingsProblemKind.MALFORMED_LINE, line, Optional.empty(), detail);
      } else if (spec.sections().contains(entry.name().section())) {
        String detail = entry.name().toString();
        addProblem(SettingsProblemKind.UNKNOWN_KEY, line, Optional.empty(), detail);
      }
    }

    private void applyDefault(Setting<?> setting) {
      if (seen.contains(setting.name())) {
        return;
      }
      if (setting.required()) {
        String detail = "needs " + setting.kind().description();
        addProblem(SettingsProblemKind.MISSING, OptionalInt.empty(), Optional.of(setting), detail);
      } else if (setting.defaultText().isPresent()) {
        value(setting, setting.defaultText().get(), OptionalInt.empty());
      } else {
        values.put(setting.name(), Optional.empty());
      }
    }

    private void value(Setting<?> setting, String text, OptionalInt line) {
      try {
        if (text.isEmpty()) {
          throw new InvalidSettingValueException(
              SettingsProblemKind.INVALID_VALUE,
              "no value given; takes " + setting.kind().description());
        }
        values.put(setting.name(), setting.kind().parse(text));
      } catch (InvalidSettingValueException e) {
        addProblem(e.kind(), line, Optional.of(setting), e.getMessage());
      }
    }

    private void addProblem(
        SettingsProblemKind kind,
        OptionalInt line,
        Optional<? extends Setting<?>> setting,
        String detail) {
      Optional<SettingName> name = setting.map(Setting::name);
      problems.add(new SettingsProblem(kind, file, line, name, detail));
    }
  }
}
