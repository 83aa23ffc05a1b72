package org.teaseltrail.core.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.UpstreamId;

class RejectedUpstreamTrackerTest {

  private static final UpstreamId UPSTREAM = new UpstreamId("tutor-llm-1");

  private final RejectedUpstreamTracker upstreams = new RejectedUpstreamTracker();

  /**
   * An upstream that isn't allowed announces itself every second. Each VM must log the rejection
   * once instead of once per second.
   */
  @Test
  void tellsEachReasonOnce() {
    assertThat(upstreams.isNewRejection(UPSTREAM, UpstreamVerdict.NOT_ALLOWED)).isTrue();
    assertThat(upstreams.isNewRejection(UPSTREAM, UpstreamVerdict.NOT_ALLOWED)).isFalse();
    assertThat(upstreams.isNewRejection(UPSTREAM, UpstreamVerdict.WRONG_SECRET)).isTrue();
    assertThat(upstreams.isNewRejection(UPSTREAM, UpstreamVerdict.ACCEPTED)).isFalse();
    assertThat(upstreams.isNewRejection(UPSTREAM, UpstreamVerdict.WRONG_SECRET)).isTrue();
  }

  @Test
  void keepsBoundedNumberOfNames() {
    upstreams.isNewRejection(UPSTREAM, UpstreamVerdict.NOT_ALLOWED);
    for (int i = 0; i < RejectedUpstreamTracker.MAX_UPSTREAMS; i++) {
      upstreams.isNewRejection(new UpstreamId("u" + i), UpstreamVerdict.NOT_ALLOWED);
    }

    assertThat(upstreams.isNewRejection(UPSTREAM, UpstreamVerdict.NOT_ALLOWED)).isTrue();
  }
}
