package org.teaseltrail.core.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.UpstreamId;

class TurnedAwayUpstreamsTest {

  private static final UpstreamId UPSTREAM = new UpstreamId("tutor-llm-1");

  private final TurnedAwayUpstreams upstreams = new TurnedAwayUpstreams();

  /**
   * An operator forgets to allow one upstream, which announces itself every second. The log of each
   * VM must tell of it once, not once a second.
   */
  @Test
  void tellsEachReasonOnce() {
    assertThat(upstreams.isNews(UPSTREAM, UpstreamVerdict.NOT_ALLOWED)).isTrue();
    assertThat(upstreams.isNews(UPSTREAM, UpstreamVerdict.NOT_ALLOWED)).isFalse();
    assertThat(upstreams.isNews(UPSTREAM, UpstreamVerdict.WRONG_SECRET)).isTrue();
    assertThat(upstreams.isNews(UPSTREAM, UpstreamVerdict.ACCEPTED)).isFalse();
    assertThat(upstreams.isNews(UPSTREAM, UpstreamVerdict.WRONG_SECRET)).isTrue();
  }

  @Test
  void keepsBoundedNumberOfNames() {
    upstreams.isNews(UPSTREAM, UpstreamVerdict.NOT_ALLOWED);
    for (int i = 0; i < TurnedAwayUpstreams.MAX_UPSTREAMS; i++) {
      upstreams.isNews(new UpstreamId("u" + i), UpstreamVerdict.NOT_ALLOWED);
    }

    assertThat(upstreams.isNews(UPSTREAM, UpstreamVerdict.NOT_ALLOWED)).isTrue();
  }
}
