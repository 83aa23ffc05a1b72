package org.teaseltrail.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.teaseltrail.core.entry.EntryFixture.C1;

import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.RequestId;

/**
 * On an entry VM whose requests the leader schedules, a request that crashes the engines which run
 * it must not be dispatched again whenever its caller retries.
 */
class EntryPoisonRequestTest {

  private static final int TRIES = 10;
  private static final int LOST_UNTIL_KNOWN = 3;
  private static final int ALLOWED_SENDS = 3;

  /**
   * A caller repeatedly sends a request that crashes its engine; every attempt crashes another one.
   */
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
