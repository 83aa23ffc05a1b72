package org.teaseltrail.runtime.settings;

/** Writes the commented example file of a program from its declarations. */
public final class ExampleFile {

  private static final int WIDTH = 98;

  private ExampleFile() {}

  /**
   * Writes the file: settings that must be given stand with an example, all others commented out
   * with their defaults.
   *
   * @param spec the program's list of settings
   * @return the text of the file
   */
  public static String print(SettingsSpec spec) {
    StringBuilder text = new StringBuilder();
    comment(text, "Settings of " + spec.program() + ". " + spec.summary());
    comment(text, "Keys that are commented out show their defaults or an example.");
    for (String section : spec.sections()) {
      text.append("\n[").append(section).append("]\n");
      spec.inSection(section).forEach(setting -> setting(text, setting));
    }
    return text.toString();
  }

  private static void setting(StringBuilder text, Setting<?> setting) {
    text.append('\n');
    comment(text, setting.doc());
    comment(text, "Takes " + setting.kind().description() + "." + holdsWithout(setting));
    text.append(setting.required() ? "" : "# ")
        .append(setting.name().key())
        .append(" = ")
        .append(setting.exampleText())
        .append('\n');
  }

  private static String holdsWithout(Setting<?> setting) {
    if (setting.required()) {
      return " Must be given.";
    }
    return setting.defaultText().map(value -> " Default " + value + ".").orElse(" No default.");
  }

  private static void comment(StringBuilder text, String words) {
    int column = WIDTH;
    for (String word : words.split(" ")) {
      if (column + 1 + word.length() > WIDTH) {
        text.append(text.length() == 0 || text.charAt(text.length() - 1) == '\n' ? "#" : "\n#");
        column = 1;
      }
      text.append(' ').append(word);
      column += 1 + word.length();
    }
    text.append('\n');
  }
}
