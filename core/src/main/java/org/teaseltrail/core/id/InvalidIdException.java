package org.teaseltrail.core.id;

/** Tells that a text can't be used as an id. */
public final class InvalidIdException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  /** Creates the failure for the kind of id and the reason. */
  public InvalidIdException(String kind, String reason) {
    super(kind + " " + reason);
  }
}
