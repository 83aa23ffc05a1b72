package org.teaseltrail.runtime.settings;

/**
 * Is a secret read from a file. Its text form hides it, so that no log line shows it.
 *
 * @param value the secret itself
 */
public record Secret(String value) {

  @Override
  public String toString() {
    return "(secret)";
  }
}
