package org.teaseltrail.load.workload;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.CustomerId;

/** Keeps the last prompts of each kind and customer, which follow-ups carry on. */
final class Conversations {

  /** Time between a request and its follow-up; a reader's pause. */
  private static final long PAUSE_NS = 15_000_000_000L;

  /** Conversations kept of each kind and customer; older ones get no follow-up. */
  private static final int KEPT = 40;

  /** Longest prompt that is carried on, so that conversations end. */
  private static final int MAX_TOKENS = 24_000;

  private final Map<Key, Deque<Turn>> turns = new HashMap<>();

  /** Remembers a prompt with its answer as the beginning of a follow-up. */
  void add(KindSpec kind, CustomerId customer, long atNs, Prompt withAnswer) {
    Deque<Turn> kept =
        turns.computeIfAbsent(new Key(kind.name(), customer), k -> new ArrayDeque<>());
    kept.addLast(new Turn(atNs, withAnswer));
    if (kept.size() > KEPT) {
      kept.removeFirst();
    }
  }

  /** Takes out a conversation whose last turn is a pause ago; each is carried on once. */
  Optional<Prompt> take(KindSpec kind, CustomerId customer, long atNs, RandomGenerator random) {
    Deque<Turn> kept = turns.getOrDefault(new Key(kind.name(), customer), new ArrayDeque<>());
    Optional<Turn> found =
        kept.stream()
            .filter(t -> t.atNs() + PAUSE_NS <= atNs)
            .skip(random.nextInt(1 + kept.size() / 4))
            .findFirst();
    found.ifPresent(kept::remove);
    return found.map(Turn::prompt).filter(p -> p.tokens() < MAX_TOKENS);
  }

  private record Key(String kind, CustomerId customer) {}

  private record Turn(long atNs, Prompt prompt) {}
}
