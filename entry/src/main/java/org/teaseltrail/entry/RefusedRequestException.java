package org.teaseltrail.entry;

/** Thrown when an HTTP request is refused before it is dispatched, for example as malformed. */
final class RefusedRequestException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ProblemKind kind;

  RefusedRequestException(ProblemKind kind, String detail) {
    super(detail, null, false, false);
    this.kind = kind;
  }

  ProblemKind kind() {
    return kind;
  }
}
