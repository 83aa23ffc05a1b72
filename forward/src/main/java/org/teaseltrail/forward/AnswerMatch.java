package org.teaseltrail.forward;

/** How an answer relates to the request in flight on its connection. */
enum AnswerMatch {
  /** It names that request, or names none and no other request was sent on the connection. */
  OWN,
  /** It names another request. */
  OTHER,
  /** It may be that of this request or of another one, or is made of two answers. */
  DOUBTFUL
}
