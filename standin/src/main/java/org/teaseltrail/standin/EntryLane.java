package org.teaseltrail.standin;

import java.util.Optional;
import java.util.function.Function;
import reactor.core.publisher.Mono;

/**
 * Sends announcements to one entry VM, one at a time; if several come up meanwhile, only the newest
 * goes out next. Guards against two announcements that overtake each other, which would show as an
 * entry VM that hears "serving" after "leaving". The guard holds because the next is sent only when
 * the one before is answered or given up.
 */
final class EntryLane {

  private final Function<String, Mono<Integer>> post;
  private Optional<String> next = Optional.empty();
  private boolean busy;

  EntryLane(Function<String, Mono<Integer>> post) {
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
