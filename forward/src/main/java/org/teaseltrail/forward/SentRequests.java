package org.teaseltrail.forward;

import java.util.Optional;

/** The requests sent on one connection, by whose ids the answers on it are told apart. */
final class SentRequests {

  private int count;
  private Optional<String> last = Optional.empty();
  private Optional<String> previous = Optional.empty();

  /** Records a request that is sent now. */
  void add(String requestId) {
    count++;
    previous = last;
    last = Optional.of(requestId);
  }

  /** Returns how an answer relates to the request that was sent last. */
  AnswerMatch match(Optional<String> named) {
    if (named.isPresent()) {
      return named.equals(last) ? AnswerMatch.OWN : AnswerMatch.OTHER;
    }
    return count == 1 ? AnswerMatch.OWN : AnswerMatch.UNNAMED;
  }

  int count() {
    return count;
  }

  /** Returns the id of the request that was sent last, if there was one. */
  Optional<String> last() {
    return last;
  }

  /** Returns the id of the request that was sent before the last one, if there was one. */
  Optional<String> previous() {
    return previous;
  }
}
