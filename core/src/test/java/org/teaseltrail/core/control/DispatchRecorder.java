package org.teaseltrail.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.IdempotencyKey;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.Ticket;

/** Records which request was dispatched for each idempotency key; fails if a second one is. */
final class DispatchRecorder {

  private final Map<IdempotencyKey, RequestId> ran = new HashMap<>();

  void recordDispatch(Ticket ticket) {
    IdempotencyKey key = ticket.claim().orElseThrow().key();
    RequestId before = ran.putIfAbsent(key, ticket.request());
    assertThat(before).as("key %s ran twice", key).isNull();
  }

  int count() {
    return ran.size();
  }
}
