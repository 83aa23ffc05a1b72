package org.teaseltrail.entry;

/**
 * Ends the response stream of a caller whose exchange was abandoned, for example because it read
 * nothing for the stall timeout.
 */
final class CallerStalledException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  CallerStalledException() {
    super("the caller reads nothing", null, false, false);
  }
}
