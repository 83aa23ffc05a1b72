package org.teaseltrail.core.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.upstream.UpstreamPhase;

/** Tells how old an announcement may be that an entry VM reads after it stood still. */
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
   * An entry VM is frozen. An upstream announces that it serves, and a second later tells another
   * VM that it leaves. The first VM thaws, reads the announcement as if it were new, and a new
   * leader gives the upstream work seconds after it left.
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
