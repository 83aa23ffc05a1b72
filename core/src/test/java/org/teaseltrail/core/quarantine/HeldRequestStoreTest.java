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

  private final HeldRequestStore book = new HeldRequestStore(List.of());

  private static HeldRequest held(int number, Optional<CustomerId> customer) {
    return new HeldRequest(new Fingerprint(number, number), customer, 0, 0);
  }

  /** One customer's held requests fill the book and push another's out. */
  @Test
  void noCustomerPushesAnothersOut() {
    book.hold(held(0, QUIET));
    for (int i = 1; i <= 1_000; i++) {
      book.hold(held(i, NOISY));
    }
    assertThat(book.all()).hasSize(65).contains(held(0, QUIET), held(1_000, NOISY));
  }

  @Test
  void trialsAreCountedAndTheHoldEnds() {
    book.hold(held(1, QUIET));
    assertThat(one().isTrialDue(MINUTE_MS)).isFalse();
    assertThat(one().isTrialDue(2 * MINUTE_MS)).isTrue();
    book.recordTrial(one().request());
    assertThat(one().isTrialDue(3 * MINUTE_MS)).isFalse();
    assertThat(one().isTrialDue(20 * MINUTE_MS)).isTrue();
    book.recordTrial(one().request());
    assertThat(one().isTrialDue(59 * MINUTE_MS)).isFalse();
    assertThat(one().isExpired(59 * MINUTE_MS)).isFalse();
    assertThat(one().isExpired(61 * MINUTE_MS)).isTrue();
  }

  private HeldRequest one() {
    return book.all().get(0);
  }
}
