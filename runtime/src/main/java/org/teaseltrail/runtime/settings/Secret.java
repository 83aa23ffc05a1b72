package org.teaseltrail.runtime.settings;

/**
 * Secret read from a file. {@link #toString()} doesn't reveal it, so that it can't appear in a log
 * line.
 *
 * @param value the secret itself
 */
public record Secret(String value) {

  @Override
  public String toString() {
    return "(secret)";
  }
}
