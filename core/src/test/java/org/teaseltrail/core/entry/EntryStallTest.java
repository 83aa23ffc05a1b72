package org.teaseltrail.core.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.upstream.UpstreamPhase;

/** Tests the age of an announcement that an entry VM reads after a stall. */
class EntryStallTest {

  private static final long FREEZE_MS = 4_000;

  private final EntryFixture vm = new EntryFixture();

  private long ageOfLastAnnouncementMs() {
    List<EntryMessage.UpstreamSeen> seen =
        vm.actions.stream()
            .filter(EntryAction.SendControl.class::isInstance)
            .map(action -> ((EntryAction.SendControl) action).message())
            .filter(EntryMessage.UpstreamSeen.class::isInstance)
            .map(EntryMessage.UpstreamSeen.class::cast)
            .toList();
    return seen.get(seen.size() - 1).heardMs();
  }

  /**
   * Guards against an outdated announcement that is taken for a current one: an upstream announces
   * to a paused VM that it is serving, and a second later announces to another VM that it is
   * leaving. When the paused VM resumes and forwards the old announcement as current, a new leader
   * assigns work to the upstream although it has left.
   */
  @Test
  void announcementReadAfterFreezeMayBeAsOldAsTheFreeze() {
    vm.join(EntryFixture.C1, 1, 1);
    vm.announce(UpstreamPhase.SERVING, 1);
    assertThat(ageOfLastAnnouncementMs()).isZero();
    vm.advance(FREEZE_MS);
    vm.announce(UpstreamPhase.SERVING, 2);
    assertThat(ageOfLastAnnouncementMs()).isEqualTo(FREEZE_MS);
  }

  @Test
  void announcementReadLaterIsNew() {
    vm.join(EntryFixture.C1, 1, 1);
    vm.advance(FREEZE_MS);
    vm.advance(400);
    vm.announce(UpstreamPhase.SERVING, 1);
    assertThat(ageOfLastAnnouncementMs()).isZero();
  }
}
