package org.teaseltrail.core.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.stream.StreamOrigin;

class VersionHistoryTest {

  private static final ServiceId SERVICE = new ServiceId("engines");
  private static final Registration OLD = ForwardSamples.upstream("a1", SERVICE, 1, "v1");
  private static final Registration OTHER_OLD = ForwardSamples.upstream("a2", SERVICE, 1, "v1");
  private static final Registration NEW = ForwardSamples.upstream("b1", SERVICE, 1, "v2");
  private static final Optional<StreamOrigin> NEW_ORIGIN = Optional.of(StreamOrigin.of(NEW));

  private final VersionHistory history = new VersionHistory(List.of());

  @Test
  void serviceOfOneVersionHasOneOrigin() {
    assertThat(history.onlyOrigin(SERVICE, List.of(OLD, OTHER_OLD), 0))
        .contains(new StreamOrigin(SERVICE, Optional.of(new UpstreamVersion("v1"))));
    assertThat(history.mixedServices(List.of(OLD, OTHER_OLD), 0)).isEmpty();
  }

  @Test
  void serviceOfTwoVersionsIsMixed() {
    assertThat(history.onlyOrigin(SERVICE, List.of(OLD, NEW), 0)).isEmpty();
    assertThat(history.mixedServices(List.of(OLD, NEW), 0)).containsExactly(SERVICE);
  }

  /** Guards against a stream of a version that has just left and counts as one of the other. */
  @Test
  void versionCountsForSomeTimeAfterItsLastUpstreamHasLeft() {
    leave(OLD, 1_000);
    long expiryMs = 1_000 + VersionHistory.RETENTION_MS;
    assertThat(history.onlyOrigin(SERVICE, List.of(NEW), expiryMs)).isEmpty();
    assertThat(history.onlyOrigin(SERVICE, List.of(NEW), expiryMs + 1)).isEqualTo(NEW_ORIGIN);
  }

  /** Guards against a version that is forgotten because later ones leave after it. */
  @Test
  void versionsThatLeaveLaterHideNone() {
    leave(OLD, 1_000);
    leave(NEW, 2_000);
    leave(ForwardSamples.upstream("b2", SERVICE, 1, "v2"), 3_000);
    assertThat(history.onlyOrigin(SERVICE, List.of(NEW), 4_000)).isEmpty();
  }

  /** Guards against an upstream that changes its version under one id. */
  @Test
  void changeOfVersionUnderOneIdCountsAsLeaving() {
    Registration changed = ForwardSamples.upstream("a1", SERVICE, 1, "v2");
    history.onChange(Optional.of(OLD), Optional.of(changed), 1_000);
    assertThat(history.onlyOrigin(SERVICE, List.of(changed), 1_000)).isEmpty();
  }

  @Test
  void heartbeatWithoutChangeOfVersionRetiresNothing() {
    history.onChange(Optional.of(OLD), Optional.of(OLD), 1_000);
    assertThat(history.all()).isEmpty();
  }

  /** Guards against a history that is lost with a restart of all members. */
  @Test
  void historyOutlastsSnapshot() {
    leave(OLD, 1_000);
    VersionHistory restored = new VersionHistory(history.all());
    assertThat(restored.onlyOrigin(SERVICE, List.of(NEW), 2_000)).isEmpty();
  }

  /** Guards against a proof from a snapshot that says nothing of versions that have left. */
  @Test
  void snapshotOfOlderProgramProvesNothing() {
    VersionHistory unknown = VersionHistory.unknown(List.of(NEW), 1_000);
    assertThat(unknown.onlyOrigin(SERVICE, List.of(NEW), 2_000)).isEmpty();
    assertThat(unknown.onlyOrigin(SERVICE, List.of(NEW), 1_001 + VersionHistory.RETENTION_MS))
        .isEqualTo(NEW_ORIGIN);
  }

  private void leave(Registration upstream, long logTimeMs) {
    history.onChange(
        Optional.of(upstream), Optional.of(upstream.withPhase(RegistrationPhase.GONE)), logTimeMs);
  }
}
