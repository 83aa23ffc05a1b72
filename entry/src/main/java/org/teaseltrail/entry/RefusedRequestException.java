package org.teaseltrail.entry;

/** Tells that a caller's request is refused for its form. */
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
