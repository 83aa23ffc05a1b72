package org.teaseltrail.core.request;

/** Whether a request was executed by an upstream. */
public enum ExecutionStatus {
  /** It was executed completely. */
  YES("yes"),
  /** No part of it was executed. */
  NO("no"),
  /** It may have been executed completely, partially or not at all. */
  MAYBE("maybe");

  private final String text;

  ExecutionStatus(String text) {
    this.text = text;
  }

  /** Returns the value used in responses to callers. */
  public String text() {
    return text;
  }
}
