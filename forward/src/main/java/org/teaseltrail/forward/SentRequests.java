package org.teaseltrail.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** The requests sent on one connection, by whose ids the answers on it are told apart. */
final class SentRequests {

  /** Number of ids that are remembered; second answers come within a few requests. */
  private static final int MAX_IDS = 64;

  private final Deque<String> ids = new ArrayDeque<>();
  private int count;
  private Optional<String> last = Optional.empty();
  private Optional<String> previous = Optional.empty();

  /** Records a request that is sent now. */
  void add(String requestId) {
    count++;
    previous = last;
    last = Optional.of(requestId);
    ids.addLast(requestId);
    if (ids.size() > MAX_IDS) {
      ids.removeFirst();
    }
  }

  /**
   * Returns whether the answer to a request could be told from those to the earlier ones. It
   * couldn't if the request has no id, or that of an earlier one: a retry, or one that its caller
   * repeats.
   */
  boolean canTellApart(String requestId) {
    return count == 0 || (!requestId.isEmpty() && !contains(requestId));
  }

  /** Returns whether one of the requests that were sent last has an id. */
  boolean contains(String requestId) {
    return ids.contains(requestId);
  }

  /** Returns how an answer relates to the request that was sent last. */
  AnswerMatch match(Optional<String> named) {
    if (named.isPresent()) {
      return named.equals(last) ? AnswerMatch.OWN : AnswerMatch.OTHER;
    }
    return count == 1 ? AnswerMatch.OWN : AnswerMatch.DOUBTFUL;
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
