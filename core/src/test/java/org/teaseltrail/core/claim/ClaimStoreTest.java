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

  private final ClaimStore book = new ClaimStore();

  static ClaimRecord wish(String key, String holder, boolean nonIdempotent, long nowMs) {
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
   * A grant is declined and its release is on the way while the holder is granted again and runs.
   * The late release would free the key and let the work run twice.
   */
  @Test
  void lateReleaseOfAnEarlierGrantHasNoEffect() {
    book.open(wish("k", "r1", true, 0));
    book.open(wish("k", "r1", true, 10));
    assertThat(book.release(FIRST, 1)).isFalse();
    assertThat(book.open(wish("k", "r2", true, 20))).isInstanceOf(OpenClaimResult.Held.class);
    assertThat(book.release(FIRST, 2)).isTrue();
    assertThat(book.open(wish("k", "r2", true, 30))).isInstanceOf(OpenClaimResult.Opened.class);
  }

  /** A release that comes after the end must not free the key of work that ran. */
  @Test
  void releaseAfterTheEndHasNoEffect() {
    book.open(wish("k", "r1", true, 0));
    book.finish(FIRST, EndKind.FAILED, 5);
    assertThat(book.release(FIRST, 1)).isFalse();
    assertThat(book.open(wish("k", "r2", true, 20))).isInstanceOf(OpenClaimResult.Held.class);
  }

  /**
   * The first VM tells that its stream broke; the VM that adopted the stream tells the whole
   * answer. The caller must read "completed" whichever comes first.
   */
  @Test
  void wholeAnswerSettlesWhatMayHaveRun() {
    book.open(wish("k", "r1", true, 0));
    book.finish(FIRST, EndKind.FAILED, 5);
    assertThat(book.finish(FIRST, EndKind.COMPLETED, 6).orElseThrow().state())
        .isEqualTo(ClaimState.COMPLETED);
    assertThat(book.finish(FIRST, EndKind.FAILED, 7).orElseThrow().state())
        .isEqualTo(ClaimState.COMPLETED);
  }

  /** Load fills the book; a key that guards against a second run must never make room. */
  @Test
  void fullBookDropsIdempotentClaimsOnly() {
    book.expire(new ClaimLimits(2, 1_000, 1_000), 0);
    book.open(wish("a", "r1", false, 0));
    book.open(wish("b", "r2", true, 0));
    book.finish(FIRST, EndKind.COMPLETED, 1);
    book.finish(SECOND, EndKind.COMPLETED, 2);
    assertThat(book.open(wish("c", "r3", true, 3))).isInstanceOf(OpenClaimResult.Opened.class);
    assertThat(book.open(wish("d", "r4", true, 4))).isInstanceOf(OpenClaimResult.Full.class);
    assertThat(book.byHolder(SECOND)).isPresent();
  }

  /** A claim of which nothing more is heard may have run; its key is freed only by its age. */
  @Test
  void oldClaimsAreSettledThenDropped() {
    ClaimLimits limits = new ClaimLimits(10, 1_000, 100);
    book.open(wish("k", "r1", true, 0));
    assertThat(book.expire(limits, 99)).isZero();
    assertThat(book.hasExpired(100)).isTrue();
    book.expire(limits, 100);
    assertThat(book.byHolder(FIRST).orElseThrow().state()).isEqualTo(ClaimState.MAY_HAVE_RUN);
    book.expire(limits, 1_099);
    assertThat(book.size()).isOne();
    book.expire(limits, 1_100);
    assertThat(book.size()).isZero();
  }

  /** Two claims under one key must stop the program, not its users. */
  @Test
  void assertsOneClaimForEachKey() {
    ClaimRecord one = wish("k", "r1", true, 0);
    ClaimRecord other = wish("k", "r2", true, 0);
    assertThatThrownBy(() -> ClaimStore.restore(List.of(one, other), ClaimLimits.DEFAULT))
        .isInstanceOf(InvariantViolation.class);
  }
}
