package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.FencingNumber;

/** Tracks the greatest fencing number and, if fencing is honoured, rejects smaller ones. */
final class FencingValidator {

  private final boolean honoured;
  private FencingNumber newest = new FencingNumber(0);

  FencingValidator(boolean honoured) {
    this.honoured = honoured;
  }

  boolean accept(FencingNumber fencing) {
    if (fencing.compareTo(newest) < 0) {
      return !honoured;
    }
    newest = fencing;
    return true;
  }

  FencingNumber newest() {
    return newest;
  }
}
