package org.teaseltrail.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.VmId;

/** Tests when a session ends. */
class ServingSessionTest {

  private static final VmId MEMBER = new VmId("10.0.0.1:7600");
  private static final VmId OTHER = new VmId("10.0.0.2:7600");
  private static final long MS = 1_000_000L;

  private final ServingSession session = new ServingSession(3_000);

  private static ServingReply.Confirmed confirmed(long fencing, long sequence, long version) {
    return new ServingReply.Confirmed(
        new FencingNumber(fencing),
        sequence,
        version,
        1,
        1,
        List.of(MEMBER),
        UpstreamSlots.NONE,
        List.of(),
        List.of());
  }

  /**
   * Guards against a VM that accepts a revoked key for longer than the session lifetime: if the
   * lifetime were counted from the arrival of the confirmation, a delayed confirmation would extend
   * the session.
   */
  @Test
  void countsFromTheSendingOfTheSync() {
    session.recordPlanVersion(7);
    long sequence = session.recordSync(MEMBER, 0);
    session.confirmed(confirmed(1, sequence, 7), 2_000 * MS);
    assertThat(session.isValid(2_999 * MS)).isTrue();
    assertThat(session.isValid(3_000 * MS)).isFalse();
  }

  /**
   * A confirmation of a plan version that the VM has not applied must not extend the session, since
   * the VM's own plan is known to be old.
   */
  @Test
  void waitsForThePlanThatIsConfirmed() {
    session.recordPlanVersion(7);
    long sequence = session.recordSync(MEMBER, 0);
    session.confirmed(confirmed(1, sequence, 8), 1 * MS);
    assertThat(session.isValid(2 * MS)).isFalse();
    session.recordPlanVersion(8);
    assertThat(session.isValid(2 * MS)).isTrue();
  }

  /**
   * A replaced leader that still believes it leads confirms an older plan; the confirmation must be
   * ignored by a VM that knows the newer leadership.
   */
  @Test
  void hearsNoOlderLeader() {
    session.recordPlanVersion(8);
    long newer = session.recordSync(OTHER, 0);
    long older = session.recordSync(MEMBER, 1_000 * MS);
    session.confirmed(confirmed(5, newer, 8), 2 * MS);
    assertThat(session.confirmed(confirmed(4, older, 7), 1_001 * MS)).isFalse();
    assertThat(session.isValid(3_500 * MS)).isFalse();
  }

  /** A duplicate confirmation, or one for a sync that was never sent, must be ignored. */
  @Test
  void takesOnlyAnswersToOpenSyncs() {
    session.recordPlanVersion(7);
    long sequence = session.recordSync(MEMBER, 0);
    assertThat(session.confirmed(confirmed(1, sequence, 7), MS)).isTrue();
    assertThat(session.confirmed(confirmed(1, sequence, 7), 2 * MS)).isFalse();
    assertThat(session.confirmed(confirmed(1, 99, 7), 2 * MS)).isFalse();
  }

  @Test
  void forgetsLeaderThatIsSilent() {
    long sequence = session.recordSync(MEMBER, 0);
    session.confirmed(confirmed(1, sequence, 7), 0);
    assertThat(session.leader(700 * MS, 750 * MS)).contains(MEMBER);
    assertThat(session.leader(800 * MS, 750 * MS)).isEmpty();
  }
}
