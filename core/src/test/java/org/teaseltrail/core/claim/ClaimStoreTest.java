package org.teaseltrail.core.claim;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.IdempotencyKey;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.invariant.InvariantViolation;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.EndKind;

class ClaimStoreTest {

  private static final RequestId FIRST = new RequestId("r1");
  private static final RequestId SECOND = new RequestId("r2");

  private final ClaimStore store = new ClaimStore();

  static ClaimRecord requested(String key, String holder, boolean nonIdempotent, long nowMs) {
    return new ClaimRecord(
        new ClaimKey(new CustomerId("c"), new IdempotencyKey(key)),
        "digest",
        nonIdempotent,
        new RequestId(holder),
        new VmId("e1"),
        new UpstreamId("u1"),
        0,
        ClaimState.RUNNING,
        nowMs);
  }

  /**
   * A grant is declined, and its release is in flight while the holder is granted again and runs.
   * The late release must not free the key, or the work could run twice.
   */
  @Test
  void lateReleaseOfAnEarlierGrantHasNoEffect() {
    store.open(requested("k", "r1", true, 0));
    store.open(requested("k", "r1", true, 10));
    assertThat(store.release(FIRST, 1)).isFalse();
    assertThat(store.open(requested("k", "r2", true, 20))).isInstanceOf(OpenClaimResult.Held.class);
    assertThat(store.release(FIRST, 2)).isTrue();
    assertThat(store.open(requested("k", "r2", true, 30)))
        .isInstanceOf(OpenClaimResult.Opened.class);
  }

  /** A release that arrives after the end must not free the key of work that ran. */
  @Test
  void releaseAfterTheEndHasNoEffect() {
    store.open(requested("k", "r1", true, 0));
    store.finish(FIRST, EndKind.FAILED, 5);
    assertThat(store.release(FIRST, 1)).isFalse();
    assertThat(store.open(requested("k", "r2", true, 20))).isInstanceOf(OpenClaimResult.Held.class);
  }

  /**
   * The original VM reports a broken stream, and the VM that took the stream over reports the
   * complete answer. The claim must end as completed, whichever report arrives first.
   */
  @Test
  void wholeAnswerSettlesWhatMayHaveRun() {
    store.open(requested("k", "r1", true, 0));
    store.finish(FIRST, EndKind.FAILED, 5);
    assertThat(store.finish(FIRST, EndKind.COMPLETED, 6).orElseThrow().state())
        .isEqualTo(ClaimState.COMPLETED);
    assertThat(store.finish(FIRST, EndKind.FAILED, 7).orElseThrow().state())
        .isEqualTo(ClaimState.COMPLETED);
  }

  /** A full store must not drop a claim that prevents a second run of non-idempotent work. */
  @Test
  void fullBookDropsIdempotentClaimsOnly() {
    store.expire(new ClaimLimits(2, 1_000, 1_000), 0);
    store.open(requested("a", "r1", false, 0));
    store.open(requested("b", "r2", true, 0));
    store.finish(FIRST, EndKind.COMPLETED, 1);
    store.finish(SECOND, EndKind.COMPLETED, 2);
    assertThat(store.open(requested("c", "r3", true, 3)))
        .isInstanceOf(OpenClaimResult.Opened.class);
    assertThat(store.open(requested("d", "r4", true, 4))).isInstanceOf(OpenClaimResult.Full.class);
    assertThat(store.byHolder(SECOND)).isPresent();
  }

  /**
   * A running claim whose end is never reported may have run. Its key is freed only when its
   * retention has passed.
   */
  @Test
  void oldClaimsAreSettledThenDropped() {
    ClaimLimits limits = new ClaimLimits(10, 1_000, 100);
    store.open(requested("k", "r1", true, 0));
    assertThat(store.expire(limits, 99)).isZero();
    assertThat(store.hasExpired(100)).isTrue();
    store.expire(limits, 100);
    assertThat(store.byHolder(FIRST).orElseThrow().state()).isEqualTo(ClaimState.MAY_HAVE_RUN);
    store.expire(limits, 1_099);
    assertThat(store.size()).isOne();
    store.expire(limits, 1_100);
    assertThat(store.size()).isZero();
  }

  /**
   * Two claims with the same key violate an invariant, which must stop the process before a request
   * runs twice.
   */
  @Test
  void assertsOneClaimForEachKey() {
    ClaimRecord one = requested("k", "r1", true, 0);
    ClaimRecord other = requested("k", "r2", true, 0);
    assertThatThrownBy(() -> ClaimStore.restore(List.of(one, other), ClaimLimits.DEFAULT))
        .isInstanceOf(InvariantViolation.class);
  }
}
