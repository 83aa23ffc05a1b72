package org.teaseltrail.core.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.SocketAddress;

/** Tests that delayed heartbeats do not bring back deregistered or draining upstreams. */
class UpstreamRegistryTest {

  private final UpstreamRegistry registry = new UpstreamRegistry(0, List.of());

  private static Registration heartbeat(RegistrationPhase phase, long sequence) {
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
   * A delayed heartbeat that an upstream sent before it started draining must not set it back to
   * ready. Otherwise the upstream gets requests after its draining was acknowledged.
   */
  @Test
  void lateHeartbeatDoesNotUndoDraining() {
    registry.register(heartbeat(RegistrationPhase.READY, 1));
    registry.register(heartbeat(RegistrationPhase.DRAINING, 5));
    registry.register(heartbeat(RegistrationPhase.READY, 4));
    assertThat(registry.present()).containsExactly(heartbeat(RegistrationPhase.DRAINING, 5));
  }

  /** Draining that was acknowledged stays, even if a newer heartbeat reports ready by mistake. */
  @Test
  void drainingIsNeverTakenBack() {
    registry.register(heartbeat(RegistrationPhase.DRAINING, 5));
    registry.register(heartbeat(RegistrationPhase.READY, 6));
    assertThat(registry.present().get(0).phase()).isEqualTo(RegistrationPhase.DRAINING);
  }

  /**
   * A heartbeat that a network partition delayed until after the acknowledged deregistration must
   * not register the upstream again, since its address may belong to another service by then.
   */
  @Test
  void heartbeatAfterDeregistrationChangesNothing() {
    registry.register(heartbeat(RegistrationPhase.READY, 1));
    registry.deregister(heartbeat(RegistrationPhase.READY, 1));
    final long revision = registry.revision();
    assertThat(registry.needsCommit(heartbeat(RegistrationPhase.READY, 9))).isFalse();
    registry.register(heartbeat(RegistrationPhase.READY, 9));
    assertThat(registry.present()).isEmpty();
    assertThat(registry.revision()).isEqualTo(revision);
  }

  /** The deregistration arrives before any heartbeat, because the first heartbeat was lost. */
  @Test
  void deregistrationOfUnknownUpstreamIsRemembered() {
    registry.deregister(heartbeat(RegistrationPhase.GONE, Long.MAX_VALUE));
    registry.register(heartbeat(RegistrationPhase.READY, 1));
    assertThat(registry.present()).isEmpty();
  }

  @Test
  void heartbeatWithNothingNewNeedsNoCommit() {
    registry.register(heartbeat(RegistrationPhase.READY, 1));
    assertThat(registry.needsCommit(heartbeat(RegistrationPhase.READY, 2))).isFalse();
    assertThat(registry.needsCommit(heartbeat(RegistrationPhase.DRAINING, 2))).isTrue();
  }

  @Test
  void droppedUpstreamComesBackWithItsNextHeartbeat() {
    registry.register(heartbeat(RegistrationPhase.READY, 1));
    registry.removeSilent(new UpstreamId("i-1"));
    assertThat(registry.present()).isEmpty();
    registry.register(heartbeat(RegistrationPhase.READY, 2));
    assertThat(registry.present()).hasSize(1);
  }

  @Test
  void copyFromItsContentIsEqual() {
    registry.register(heartbeat(RegistrationPhase.READY, 1));
    registry.deregister(heartbeat(RegistrationPhase.READY, 1));
    UpstreamRegistry copy = new UpstreamRegistry(registry.revision(), List.copyOf(registry.all()));
    copy.register(heartbeat(RegistrationPhase.READY, 2));
    assertThat(copy.present()).isEmpty();
  }

  private static Registration incarnation(long bornMs, RegistrationPhase phase, long sequence) {
    Registration heartbeat = heartbeat(phase, sequence);
    return new Registration(
        heartbeat.id(),
        bornMs,
        heartbeat.service(),
        heartbeat.address(),
        heartbeat.dataCenter(),
        heartbeat.slots(),
        phase,
        sequence,
        Optional.empty(),
        0);
  }

  /**
   * An upstream that restarts under its id counts its sequence from the beginning. Its heartbeats
   * must not be taken for older ones of the previous incarnation, or a new address is ignored.
   */
  @Test
  void laterIncarnationReplacesEarlierOneThoughItsSequenceIsSmaller() {
    registry.register(incarnation(100, RegistrationPhase.DRAINING, 50));
    registry.register(incarnation(200, RegistrationPhase.READY, 1));
    assertThat(registry.present()).containsExactly(incarnation(200, RegistrationPhase.READY, 1));
  }

  /** A delayed heartbeat of the previous incarnation arrives after those of the next one. */
  @Test
  void lateHeartbeatOfEarlierIncarnationChangesNothing() {
    registry.register(incarnation(200, RegistrationPhase.READY, 1));
    assertThat(registry.needsCommit(incarnation(100, RegistrationPhase.DRAINING, 90))).isFalse();
    registry.register(incarnation(100, RegistrationPhase.DRAINING, 90));
    assertThat(registry.present()).containsExactly(incarnation(200, RegistrationPhase.READY, 1));
  }

  /**
   * An upstream deregisters and restarts under its id. The deregistration is final for its own
   * incarnation and must not keep the next incarnation from being used.
   */
  @Test
  void deregistrationAppliesToItsOwnIncarnationOnly() {
    registry.register(incarnation(100, RegistrationPhase.READY, 5));
    registry.deregister(incarnation(100, RegistrationPhase.READY, 5));
    registry.register(incarnation(100, RegistrationPhase.READY, 6));
    assertThat(registry.present()).isEmpty();
    registry.register(incarnation(200, RegistrationPhase.READY, 1));
    assertThat(registry.present()).containsExactly(incarnation(200, RegistrationPhase.READY, 1));
    registry.deregister(incarnation(100, RegistrationPhase.GONE, 7));
    assertThat(registry.present()).hasSize(1);
  }

  /** The same holds after a snapshot was restored at another leader. */
  @Test
  void deregistrationOfOneIncarnationIsKeptInSnapshot() {
    registry.register(incarnation(200, RegistrationPhase.READY, 1));
    registry.deregister(incarnation(200, RegistrationPhase.READY, 1));
    UpstreamRegistry copy = new UpstreamRegistry(registry.revision(), List.copyOf(registry.all()));
    copy.register(incarnation(200, RegistrationPhase.READY, 9));
    copy.register(incarnation(100, RegistrationPhase.READY, 99));
    assertThat(copy.present()).isEmpty();
  }
}
