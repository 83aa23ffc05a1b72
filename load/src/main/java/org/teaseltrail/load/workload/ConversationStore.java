package org.teaseltrail.load.workload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.CustomerId;

/** Store of recent conversations by kind and customer, from which follow-up requests continue. */
final class ConversationStore {

  /** Minimum time between a request and its follow-up, in which the user reads the response. */
  private static final long PAUSE_NS = 10_000_000_000L;

  /** Age at which a conversation expires and isn't continued any more. */
  private static final long EXPIRY_NS = 40_000_000_000L;

  /**
   * Exclusive upper bound on the length of a conversation that is continued; it ensures that
   * conversations end.
   */
  private static final int MAX_TOKENS = 24_000;

  private final Map<Key, List<ConversationTurn>> turns = new HashMap<>();

  /** Adds a prompt with its response as the prefix of a possible follow-up. */
  void add(KindSpec kind, CustomerId customer, long atNs, Prompt withAnswer) {
    if (withAnswer.tokens() < MAX_TOKENS) {
      turnsOf(kind, customer).add(new ConversationTurn(atNs, withAnswer));
    }
  }

  /**
   * Removes and returns a random conversation whose last turn is at least the pause ago. Each turn
   * is continued at most once.
   */
  Optional<Prompt> take(KindSpec kind, CustomerId customer, long atNs, RandomGenerator random) {
    List<ConversationTurn> kept = turnsOf(kind, customer);
    kept.removeIf(t -> t.atNs() + EXPIRY_NS < atNs);
    int ready = 0;
    while (ready < kept.size() && kept.get(ready).atNs() + PAUSE_NS <= atNs) {
      ready++;
    }
    return ready == 0 ? Optional.empty() : Optional.of(kept.remove(random.nextInt(ready)).prompt());
  }

  private List<ConversationTurn> turnsOf(KindSpec kind, CustomerId customer) {
    return turns.computeIfAbsent(new Key(kind.name(), customer), k -> new ArrayList<>());
  }

  private record Key(String kind, CustomerId customer) {}

  private record ConversationTurn(long atNs, Prompt prompt) {}
}
