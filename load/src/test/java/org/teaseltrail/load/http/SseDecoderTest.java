package org.teaseltrail.load.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SseDecoderTest {

  private static final String STREAM =
      "event: token\nid: 0\ndata: {\"seq\":0}\n\nevent: outcome\r\ndata: {\"a\":1}\r\n\r\n";

  @Test
  void eventsDoNotDependOnChunkBoundaries() {
    List<SseEvent> whole = new SseDecoder().feed(STREAM);

    assertThat(whole)
        .containsExactly(
            new SseEvent("token", "{\"seq\":0}"), new SseEvent("outcome", "{\"a\":1}"));
    for (int cut = 0; cut <= STREAM.length(); cut++) {
      SseDecoder decoder = new SseDecoder();
      List<SseEvent> parts = new ArrayList<>(decoder.feed(STREAM.substring(0, cut)));
      parts.addAll(decoder.feed(STREAM.substring(cut)));
      assertThat(parts).isEqualTo(whole);
    }
  }
}
