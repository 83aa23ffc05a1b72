package org.teaseltrail.core.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.SocketAddress;

/** Keeps upstreams that have left from coming back. */
class UpstreamRegistryTest {

  private final UpstreamRegistry book = new UpstreamRegistry(0, List.of());

  private static Registration beat(RegistrationPhase phase, long sequence) {
    return new Registration(
        new UpstreamId("i-1"),
        0,
        new ServiceId("engines"),
        new SocketAddress("10.0.0.1", 80),
        new DataCenterId("a"),
        7,
        phase,
        sequence,
        Optional.empty(),
        0);
  }

  /**
   * An upstream says that it drains and is acknowledged; requests still reach it seconds later. A
   * heartbeat that it had sent before was late and made it ready again.
   */
  @Test
  void lateHeartbeatDoesNotUndoDraining() {
    book.register(beat(RegistrationPhase.READY, 1));
    book.register(beat(RegistrationPhase.DRAINING, 5));
    book.register(beat(RegistrationPhase.READY, 4));
    assertThat(book.present()).containsExactly(beat(RegistrationPhase.DRAINING, 5));
  }

  /** A newer heartbeat may say ready by mistake; draining stays, as it was acknowledged. */
  @Test
  void drainingIsNeverTakenBack() {
    book.register(beat(RegistrationPhase.DRAINING, 5));
    book.register(beat(RegistrationPhase.READY, 6));
    assertThat(book.present().get(0).phase()).isEqualTo(RegistrationPhase.DRAINING);
  }

  /**
   * An upstream takes leave and is acknowledged; its address goes to another service. Its last
   * heartbeat, held up by a cut, arrives afterwards and would bring it back.
   */
  @Test
  void heartbeatAfterLeaveChangesNothing() {
    book.register(beat(RegistrationPhase.READY, 1));
    book.deregister(beat(RegistrationPhase.READY, 1));
    final long revision = book.revision();
    assertThat(book.needsCommit(beat(RegistrationPhase.READY, 9))).isFalse();
    book.register(beat(RegistrationPhase.READY, 9));
    assertThat(book.present()).isEmpty();
    assertThat(book.revision()).isEqualTo(revision);
  }

  /** The leave comes first, as the upstream's first heartbeat was lost on its way. */
  @Test
  void leaveOfUnknownUpstreamIsRemembered() {
    book.deregister(beat(RegistrationPhase.GONE, Long.MAX_VALUE));
    book.register(beat(RegistrationPhase.READY, 1));
    assertThat(book.present()).isEmpty();
  }

  @Test
  void heartbeatWithNothingNewNeedsNoCommit() {
    book.register(beat(RegistrationPhase.READY, 1));
    assertThat(book.needsCommit(beat(RegistrationPhase.READY, 2))).isFalse();
    assertThat(book.needsCommit(beat(RegistrationPhase.DRAINING, 2))).isTrue();
  }

  @Test
  void droppedUpstreamComesBackWithItsNextHeartbeat() {
    book.register(beat(RegistrationPhase.READY, 1));
    book.removeSilent(new UpstreamId("i-1"));
    assertThat(book.present()).isEmpty();
    book.register(beat(RegistrationPhase.READY, 2));
    assertThat(book.present()).hasSize(1);
  }

  @Test
  void copyFromItsContentIsEqual() {
    book.register(beat(RegistrationPhase.READY, 1));
    book.deregister(beat(RegistrationPhase.READY, 1));
    UpstreamRegistry copy = new UpstreamRegistry(book.revision(), List.copyOf(book.all()));
    copy.register(beat(RegistrationPhase.READY, 2));
    assertThat(copy.present()).isEmpty();
  }

  private static Registration life(long bornMs, RegistrationPhase phase, long sequence) {
    Registration beat = beat(phase, sequence);
    return new Registration(
        beat.id(),
        bornMs,
        beat.service(),
        beat.address(),
        beat.dataCenter(),
        beat.slots(),
        phase,
        sequence,
        Optional.empty(),
        0);
  }

  /**
   * An upstream crashes and starts again under its id; its sequence begins anew. Its heartbeats
   * were taken for older than those of the life before, so that a changed address never came in.
   */
  @Test
  void laterLifeReplacesEarlierOneThoughItsSequenceIsSmaller() {
    book.register(life(100, RegistrationPhase.DRAINING, 50));
    book.register(life(200, RegistrationPhase.READY, 1));
    assertThat(book.present()).containsExactly(life(200, RegistrationPhase.READY, 1));
  }

  /** A heartbeat of the life before, held up by a cut, comes behind those of the next life. */
  @Test
  void lateHeartbeatOfEarlierLifeChangesNothing() {
    book.register(life(200, RegistrationPhase.READY, 1));
    assertThat(book.needsCommit(life(100, RegistrationPhase.DRAINING, 90))).isFalse();
    book.register(life(100, RegistrationPhase.DRAINING, 90));
    assertThat(book.present()).containsExactly(life(200, RegistrationPhase.READY, 1));
  }

  /**
   * An upstream takes leave, is acknowledged and starts again under its id. The leave binds its own
   * life for good and no other; the next life was never used.
   */
  @Test
  void leaveBindsItsOwnLifeOnly() {
    book.register(life(100, RegistrationPhase.READY, 5));
    book.deregister(life(100, RegistrationPhase.READY, 5));
    book.register(life(100, RegistrationPhase.READY, 6));
    assertThat(book.present()).isEmpty();
    book.register(life(200, RegistrationPhase.READY, 1));
    assertThat(book.present()).containsExactly(life(200, RegistrationPhase.READY, 1));
    book.deregister(life(100, RegistrationPhase.GONE, 7));
    assertThat(book.present()).hasSize(1);
  }

  /** The same after a snapshot was taken and another member has become leader. */
  @Test
  void leaveOfOneLifeHoldsInSnapshot() {
    book.register(life(200, RegistrationPhase.READY, 1));
    book.deregister(life(200, RegistrationPhase.READY, 1));
    UpstreamRegistry copy = new UpstreamRegistry(book.revision(), List.copyOf(book.all()));
    copy.register(life(200, RegistrationPhase.READY, 9));
    copy.register(life(100, RegistrationPhase.READY, 99));
    assertThat(copy.present()).isEmpty();
  }
}
