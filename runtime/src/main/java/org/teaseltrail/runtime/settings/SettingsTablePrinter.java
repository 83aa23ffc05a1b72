package org.teaseltrail.runtime.settings;

/** Prints a program's settings as a section of the documentation. */
public final class SettingsTablePrinter {

  private SettingsTablePrinter() {}

  /**
   * Prints a Markdown heading and a table with one row per setting.
   *
   * @param spec the program's settings
   * @return the Markdown text
   */
  public static String print(SettingsSpec spec) {
    StringBuilder text = new StringBuilder();
    text.append("## ").append(spec.program()).append("\n\n").append(spec.summary()).append("\n\n");
    text.append("| section | key | takes | default | what it does |\n|---|---|---|---|---|\n");
    spec.settings().forEach(setting -> appendRow(text, setting));
    return text.toString();
  }

  private static void appendRow(StringBuilder text, Setting<?> setting) {
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
