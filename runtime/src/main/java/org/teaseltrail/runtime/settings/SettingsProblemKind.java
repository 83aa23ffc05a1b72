package org.teaseltrail.runtime.settings;

/** Says what is wrong with a settings file. */
public enum SettingsProblemKind {
  /** The settings file can't be read. */
  FILE_UNREADABLE("file can't be read"),
  /** A line is neither a section, a key with a value, nor a comment. */
  MALFORMED_LINE("malformed line"),
  /** No program setting lies in this section. */
  UNKNOWN_SECTION("unknown section"),
  /** The section has no such key. */
  UNKNOWN_KEY("unknown key"),
  /** The key stands twice. */
  DUPLICATE_KEY("duplicate key"),
  /** A setting without a default is left out. */
  MISSING("missing"),
  /** The value has no unit, or one that the setting doesn't take. */
  WRONG_UNIT("wrong unit"),
  /** The value is not of the setting's kind. */
  INVALID_VALUE("invalid value"),
  /** The value is below the least or above the greatest that is taken. */
  OUT_OF_RANGE("out of range"),
  /** The file that holds a secret can't be read or is empty. */
  SECRET_UNREADABLE("secret can't be read");

  private final String label;

  SettingsProblemKind(String label) {
    this.label = label;
  }

  /**
   * Returns the words an operator reads.
   *
   * @return a short label
   */
  public String label() {
    return label;
  }
}
