package org.teaseltrail.forward;

/** How an answer relates to the request in flight on its connection. */
enum AnswerMatch {
  /** It names that request, or names none and no other request was sent on the connection. */
  OWN,
  /** It names another request. */
  OTHER,
  /** It names no request, and may be a late second answer to an earlier one. */
  UNNAMED
}
