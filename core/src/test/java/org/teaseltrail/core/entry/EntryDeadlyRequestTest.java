package org.teaseltrail.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.teaseltrail.core.entry.EntryFixture.C1;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.RequestId;

/**
 * Seen: on an entry VM whose requests the leader places, a request that ends the engines which run
 * it is offered and dispatched anew each time that its caller asks again.
 */
@Tag("known-red")
class EntryDeadlyRequestTest {

  private static final int TRIES = 10;
  private static final int LOST_UNTIL_KNOWN = 3;
  private static final int ALLOWED_SENDS = 3;

  /** A caller asks again and again for what ends each engine; every try ends another. */
  @Test
  void requestThatEndsEnginesIsStopped() {
    EntryFixture vm = new EntryFixture();
    vm.join(C1, 1, 5);
    int sent = 0;
    for (int i = 0; i < TRIES; i++) {
      RequestId id = vm.arrive(1);
      vm.dispatch(id);
      sent += vm.transmitCount(id);
      for (int tries = 0; vm.outcome(id).isEmpty() && tries < 20; tries++) {
        vm.broken(id);
        vm.advance(1_000);
        vm.welcome(C1, 1, 5);
      }
    }
    assertThat(sent).isLessThanOrEqualTo(LOST_UNTIL_KNOWN + ALLOWED_SENDS);
  }
}
