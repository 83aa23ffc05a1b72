package org.teaseltrail.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.UpstreamIncarnation;

class LossTrackerTest {

  private static final long S = 1_000_000_000L;
  private static final Fingerprint REQUEST = new Fingerprint(7, 7);
  private static final Optional<CustomerId> OWNER = Optional.of(new CustomerId("owner"));
  private static final Optional<CustomerId> OTHER = Optional.of(new CustomerId("other"));

  private final LossTracker book = new LossTracker(600_000);

  private static UpstreamIncarnation life(int number) {
    return new UpstreamIncarnation(new UpstreamId("e" + number), 0);
  }

  @Test
  void wholeAnswerExcusesWhatWasLostBefore() {
    book.recordLoss(REQUEST, OWNER, life(1), S);
    book.recordLoss(REQUEST, OWNER, life(2), 2 * S);
    book.recordSuccess(REQUEST);
    assertThat(book.isCleared(REQUEST)).isTrue();
    book.recordLoss(REQUEST, OWNER, life(3), 3 * S);
    assertThat(book.losses(REQUEST)).isEqualTo(1);
  }

  /** A customer's requests are lost by the hundred and push another's suspect out. */
  @Test
  void noCustomerPushesAnothersOut() {
    book.recordLoss(REQUEST, OWNER, life(1), S);
    for (int i = 0; i < 1_000; i++) {
      book.recordLoss(new Fingerprint(100 + i, i), OTHER, life(2), 2 * S);
    }
    assertThat(book.losses(REQUEST)).isEqualTo(1);
    assertThat(book.findLostAfter(0)).hasSize(65);
  }

  @Test
  void suspectsAreForgottenAfterTheirTime() {
    book.recordLoss(REQUEST, OWNER, life(1), S);
    book.removeExpired(600 * S);
    assertThat(book.hasScope(7)).isTrue();
    book.removeExpired(602 * S);
    assertThat(book.hasScope(7)).isFalse();
    assertThat(book.isEmpty()).isTrue();
    assertThat(book.alive(life(1), 700 * S)).isFalse();
  }
}
