package org.teaseltrail.core.id;

/** Thrown when a text or number is not valid as an identifier. */
public final class InvalidIdException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception for the kind of id and the reason. */
  public InvalidIdException(String kind, String reason) {
    super(kind + " " + reason);
  }
}
