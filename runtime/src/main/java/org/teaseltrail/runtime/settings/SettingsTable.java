package org.teaseltrail.runtime.settings;

/** Writes the page section of a program's settings from its declarations. */
public final class SettingsTable {

  private SettingsTable() {}

  /**
   * Writes a Markdown heading and a table with a row for each setting.
   *
   * @param spec the program's list of settings
   * @return the text
   */
  public static String print(SettingsSpec spec) {
    StringBuilder text = new StringBuilder();
    text.append("## ").append(spec.program()).append("\n\n").append(spec.summary()).append("\n\n");
    text.append("| section | key | takes | default | what it does |\n|---|---|---|---|---|\n");
    spec.settings().forEach(setting -> row(text, setting));
    return text.toString();
  }

  private static void row(StringBuilder text, Setting<?> setting) {
    String fallback = setting.required() ? "must be given" : "none";
    text.append("| ")
        .append(setting.name().section())
        .append(" | `")
        .append(setting.name().key())
        .append("` | ")
        .append(setting.kind().description())
        .append(" | ")
        .append(setting.defaultText().map(value -> "`" + value + "`").orElse(fallback))
        .append(" | ")
        .append(setting.doc())
        .append(" |\n");
  }
}
