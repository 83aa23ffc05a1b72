package org.teaseltrail.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.VmId;

/** Ends a session in time, whatever happens on the way. */
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
   * A key is revoked; a VM that was cut off still takes it 5 s later. Its last confirmation was
   * held up for 2 s on its way, and the session was counted from its arrival.
   */
  @Test
  void countsFromTheSendingOfTheSync() {
    session.recordPlanVersion(7);
    long sequence = session.recordSync(MEMBER, 0);
    session.confirmed(confirmed(1, sequence, 7), 2_000 * MS);
    assertThat(session.isValid(2_999 * MS)).isTrue();
    assertThat(session.isValid(3_000 * MS)).isFalse();
  }

  /** A confirmation names a plan that hasn't come yet: the VM's own one is known to be old. */
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
   * A leader that was replaced without knowing it confirms an older plan to a VM that knows better.
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

  /** The same confirmation comes twice, or answers a sync that was never sent. */
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
