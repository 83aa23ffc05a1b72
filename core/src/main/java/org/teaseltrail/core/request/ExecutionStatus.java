package org.teaseltrail.core.request;

/** Says whether a request ran. */
public enum ExecutionStatus {
  /** It ran to its end. */
  YES("yes"),
  /** No part of it ran. */
  NO("no"),
  /** It may have run, wholly or in part. */
  MAYBE("maybe");

  private final String text;

  ExecutionStatus(String text) {
    this.text = text;
  }

  /** Returns the word that callers are told. */
  public String text() {
    return text;
  }
}
