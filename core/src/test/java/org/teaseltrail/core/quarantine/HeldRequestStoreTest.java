package org.teaseltrail.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.CustomerId;

class HeldRequestStoreTest {

  private static final long MINUTE_MS = 60_000;
  private static final Optional<CustomerId> NOISY = Optional.of(new CustomerId("noisy"));
  private static final Optional<CustomerId> QUIET = Optional.of(new CustomerId("quiet"));

  private final HeldRequestStore store = new HeldRequestStore(List.of());

  private static HeldRequest held(int number, Optional<CustomerId> customer) {
    return new HeldRequest(new Fingerprint(number, number), customer, 0, 0);
  }

  /** The held requests of one customer must not evict those of another when there are many. */
  @Test
  void customerDoesNotEvictRequestsOfOthers() {
    store.hold(held(0, QUIET));
    for (int i = 1; i <= 1_000; i++) {
      store.hold(held(i, NOISY));
    }
    assertThat(store.all()).hasSize(65).contains(held(0, QUIET), held(1_000, NOISY));
  }

  @Test
  void trialsAreCountedAndTheHoldEnds() {
    store.hold(held(1, QUIET));
    assertThat(onlyHeld().isTrialDue(MINUTE_MS)).isFalse();
    assertThat(onlyHeld().isTrialDue(2 * MINUTE_MS)).isTrue();
    store.recordTrial(onlyHeld().request());
    assertThat(onlyHeld().isTrialDue(3 * MINUTE_MS)).isFalse();
    assertThat(onlyHeld().isTrialDue(20 * MINUTE_MS)).isTrue();
    store.recordTrial(onlyHeld().request());
    assertThat(onlyHeld().isTrialDue(59 * MINUTE_MS)).isFalse();
    assertThat(onlyHeld().isExpired(59 * MINUTE_MS)).isFalse();
    assertThat(onlyHeld().isExpired(61 * MINUTE_MS)).isTrue();
  }

  private HeldRequest onlyHeld() {
    return store.all().get(0);
  }
}
