package org.teaseltrail.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Sinks;

class ConflatingSenderTest {

  private final List<String> posted = new ArrayList<>();
  private final List<Sinks.One<Integer>> answers = new ArrayList<>();
  private final ConflatingSender lane =
      new ConflatingSender(
          body -> {
            posted.add(body);
            answers.add(Sinks.one());
            return answers.get(answers.size() - 1).asMono();
          });

  // Announcements of one engine are sent over several connections, so a newer one could overtake an
  // older one. An entry VM would then receive "serving" after "leaving" and send requests to an
  // engine that has left. Only one may be in flight, and the newest is sent next.
  @Test
  void announcementsDoNotOvertakeEachOther() {
    lane.send("serving 1");
    lane.send("serving 2");
    lane.send("leaving 3");
    assertThat(posted).containsExactly("serving 1");
    answers.get(0).tryEmitValue(204);
    assertThat(posted).containsExactly("serving 1", "leaving 3");
    answers.get(1).tryEmitValue(204);
    lane.send("leaving 4");
    assertThat(posted).containsExactly("serving 1", "leaving 3", "leaving 4");
  }

  @Test
  void sendsNextAnnouncementAfterFailure() {
    lane.send("1");
    lane.send("2");
    answers.get(0).tryEmitError(new IllegalStateException("unreachable"));
    assertThat(posted).containsExactly("1", "2");
  }
}
