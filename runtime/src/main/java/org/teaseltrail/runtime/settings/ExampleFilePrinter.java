package org.teaseltrail.runtime.settings;

/** Prints the commented example settings file of a program from its declarations. */
public final class ExampleFilePrinter {

  private static final int MAX_LINE_WIDTH = 98;

  private ExampleFilePrinter() {}

  /**
   * Prints the file: required settings have an example value, all others are commented out and show
   * their defaults.
   *
   * @param spec the program's settings
   * @return the content of the file
   */
  public static String print(SettingsSpec spec) {
    StringBuilder text = new StringBuilder();
    appendComment(text, "Settings of " + spec.program() + ". " + spec.summary());
    appendComment(text, "Keys that are commented out show their defaults or an example.");
    for (String section : spec.sections()) {
      text.append("\n[").append(section).append("]\n");
      spec.settingsInSection(section).forEach(setting -> appendSetting(text, setting));
    }
    return text.toString();
  }

  private static void appendSetting(StringBuilder text, Setting<?> setting) {
    text.append('\n');
    appendComment(text, setting.doc());
    appendComment(text, "Takes " + setting.kind().description() + "." + defaultNote(setting));
    text.append(setting.required() ? "" : "# ")
        .append(setting.name().key())
        .append(" = ")
        .append(setting.exampleText())
        .append('\n');
  }

  private static String defaultNote(Setting<?> setting) {
    if (setting.required()) {
      return " Must be given.";
    }
    return setting.defaultText().map(value -> " Default " + value + ".").orElse(" No default.");
  }

  private static void appendComment(StringBuilder text, String words) {
    int column = MAX_LINE_WIDTH;
    for (String word : words.split(" ")) {
      if (column + 1 + word.length() > MAX_LINE_WIDTH) {
        text.append(text.length() == 0 || text.charAt(text.length() - 1) == '\n' ? "#" : "\n#");
        column = 1;
      }
      text.append(' ').append(word);
      column += 1 + word.length();
    }
    text.append('\n');
  }
}
