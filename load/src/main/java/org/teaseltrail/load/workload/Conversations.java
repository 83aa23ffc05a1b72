package org.teaseltrail.load.workload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.CustomerId;

/** Keeps the last prompts of each kind and customer, which follow-ups carry on. */
final class Conversations {

  /** Time between a request and its follow-up; a reader's pause. */
  private static final long PAUSE_NS = 10_000_000_000L;

  /** Time after which a conversation is carried on no more. */
  private static final long FORGOTTEN_NS = 40_000_000_000L;

  /** Longest prompt that is carried on, so that conversations end. */
  private static final int MAX_TOKENS = 24_000;

  private final Map<Key, List<Turn>> turns = new HashMap<>();

  /** Remembers a prompt with its answer as the beginning of a follow-up. */
  void add(KindSpec kind, CustomerId customer, long atNs, Prompt withAnswer) {
    if (withAnswer.tokens() < MAX_TOKENS) {
      turnsOf(kind, customer).add(new Turn(atNs, withAnswer));
    }
  }

  /** Takes out a conversation whose last turn is a pause ago; each is carried on once. */
  Optional<Prompt> take(KindSpec kind, CustomerId customer, long atNs, RandomGenerator random) {
    List<Turn> kept = turnsOf(kind, customer);
    kept.removeIf(t -> t.atNs() + FORGOTTEN_NS < atNs);
    int rested = 0;
    while (rested < kept.size() && kept.get(rested).atNs() + PAUSE_NS <= atNs) {
      rested++;
    }
    return rested == 0
        ? Optional.empty()
        : Optional.of(kept.remove(random.nextInt(rested)).prompt());
  }

  private List<Turn> turnsOf(KindSpec kind, CustomerId customer) {
    return turns.computeIfAbsent(new Key(kind.name(), customer), k -> new ArrayList<>());
  }

  private record Key(String kind, CustomerId customer) {}

  private record Turn(long atNs, Prompt prompt) {}
}
