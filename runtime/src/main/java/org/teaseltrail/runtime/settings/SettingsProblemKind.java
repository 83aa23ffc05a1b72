package org.teaseltrail.runtime.settings;

/** Kinds of problems in a settings file. */
public enum SettingsProblemKind {
  /** The settings file can't be read. */
  FILE_UNREADABLE("file can't be read"),
  /** A line is neither a section, a key with a value, nor a comment. */
  MALFORMED_LINE("malformed line"),
  /** The program has no settings in this section. */
  UNKNOWN_SECTION("unknown section"),
  /** The section has no such key. */
  UNKNOWN_KEY("unknown key"),
  /** The key occurs more than once. */
  DUPLICATE_KEY("duplicate key"),
  /** A required setting is missing. */
  MISSING("missing"),
  /** The value has no unit, or one that the setting doesn't accept. */
  WRONG_UNIT("wrong unit"),
  /** The value can't be parsed. */
  INVALID_VALUE("invalid value"),
  /** The value is less than the minimum or greater than the maximum. */
  OUT_OF_RANGE("out of range"),
  /** The file that contains a secret can't be read or is empty. */
  SECRET_UNREADABLE("secret can't be read");

  private final String label;

  SettingsProblemKind(String label) {
    this.label = label;
  }

  /**
   * Returns the label shown to operators.
   *
   * @return a short label
   */
  public String label() {
    return label;
  }
}
