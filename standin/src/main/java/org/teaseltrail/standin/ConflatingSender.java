package org.teaseltrail.standin;

import java.util.Optional;
import java.util.function.Function;
import reactor.core.publisher.Mono;

/**
 * Sends announcements to one entry VM, one at a time, and conflates those that arrive meanwhile:
 * only the newest is sent next. The next announcement is sent only when the previous one has been
 * answered or has failed. Otherwise one could overtake another, and an entry VM would receive phase
 * SERVING after LEAVING.
 */
final class ConflatingSender {

  private final Function<String, Mono<Integer>> post;
  private Optional<String> next = Optional.empty();
  private boolean busy;

  ConflatingSender(Function<String, Mono<Integer>> post) {
    this.post = post;
  }

  synchronized void send(String body) {
    next = Optional.of(body);
    if (!busy) {
      sendNext();
    }
  }

  private synchronized void sendNext() {
    Optional<String> body = next;
    next = Optional.empty();
    busy = body.isPresent();
    body.ifPresent(
        text -> post.apply(text).onErrorComplete().doFinally(signal -> sendNext()).subscribe());
  }
}
