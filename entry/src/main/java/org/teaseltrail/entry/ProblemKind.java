package org.teaseltrail.entry;

/** Says what is wrong with a request that was refused for its form; it did not run. */
enum ProblemKind {
  /** The body is no JSON, or lacks or mistypes a field. */
  MALFORMED_REQUEST("malformed-request", 400, "The request is malformed."),
  /** Nothing is served under the path. */
  UNKNOWN_PATH("unknown-path", 404, "Nothing is served under this path."),
  /** The path takes another method. */
  METHOD_NOT_ALLOWED("method-not-allowed", 405, "The path takes another method."),
  /** The request did not arrive in time. */
  BODY_TIMEOUT("body-timeout", 408, "The request did not arrive in time."),
  /** The body is too long. */
  BODY_TOO_LARGE("body-too-large", 413, "The body is too large."),
  /** The prompt is too long. */
  PROMPT_TOO_LARGE("prompt-too-large", 413, "The prompt is too large."),
  /** The head is too long. */
  HEADERS_TOO_LARGE("headers-too-large", 431, "The head is too large."),
  /** The API key belongs to no customer. */
  UNAUTHENTICATED("unauthenticated", 401, "The API key is missing or unknown."),
  /** The customer has no such request on this VM. */
  UNKNOWN_REQUEST("unknown-request", 404, "This VM knows no such request."),
  /** A fault of this program before anything was dispatched. */
  INTERNAL("internal", 500, "The VM has a fault.");

  private final String problemName;
  private final int httpStatus;
  private final String title;

  ProblemKind(String problemName, int httpStatus, String title) {
    this.problemName = problemName;
    this.httpStatus = httpStatus;
    this.title = title;
  }

  String problemName() {
    return problemName;
  }

  int httpStatus() {
    return httpStatus;
  }

  String title() {
    return title;
  }
}
