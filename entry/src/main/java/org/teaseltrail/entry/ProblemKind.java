package org.teaseltrail.entry;

/** The reason why an HTTP request is refused before it is dispatched; the request did not run. */
enum ProblemKind {
  /** The body isn't valid JSON, or a header or field is missing or invalid. */
  MALFORMED_REQUEST("malformed-request", 400, "The request is malformed."),
  /** No resource is served under the path. */
  UNKNOWN_PATH("unknown-path", 404, "Nothing is served under this path."),
  /** The path doesn't support the method. */
  METHOD_NOT_ALLOWED("method-not-allowed", 405, "The path takes another method."),
  /** The request body did not arrive within the timeout. */
  BODY_TIMEOUT("body-timeout", 408, "The request did not arrive in time."),
  /** The body exceeds the maximum size. */
  BODY_TOO_LARGE("body-too-large", 413, "The body is too large."),
  /** The prompt exceeds the maximum size. */
  PROMPT_TOO_LARGE("prompt-too-large", 413, "The prompt is too large."),
  /** The URI and headers exceed the maximum size. */
  HEADERS_TOO_LARGE("headers-too-large", 431, "The head is too large."),
  /** The API key belongs to no customer. */
  UNAUTHENTICATED("unauthenticated", 401, "The API key is missing or unknown."),
  /** The customer has no such request on this VM. */
  UNKNOWN_REQUEST("unknown-request", 404, "This VM knows no such request."),
  /** An internal error of this program before anything was dispatched. */
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
