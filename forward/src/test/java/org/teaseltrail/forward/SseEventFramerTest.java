package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks that only complete events are forwarded, each of them once. */
class SseEventFramerTest {

  private final SseEventFramer blocks = new SseEventFramer();

  private String take(String text) throws Exception {
    return new String(blocks.decode(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
  }

  @Test
  void forwardsCompleteEventsUnchanged() throws Exception {
    assertThat(take("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
        .isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assertThat(blocks.lastEventId()).contains("2");
    assertThat(blocks.isAtEventBoundary()).isTrue();
  }

  /**
   * Guards against partial and duplicate events: an upstream crashes in the middle of an event, and
   * another one resumes the stream.
   */
  @Test
  void resumesAtAnotherUpstreamAfterTheLastCompleteEvent() throws Exception {
    assertThat(take("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(blocks.isAtEventBoundary()).isFalse();
    blocks.discardPartialEvent();
    assertThat(blocks.lastEventId()).contains("1");
    assertThat(take("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
  }

  @Test
  void acceptsInputSplitAtAnyByte() throws Exception {
    StringBuilder forwarded = new StringBuilder();
    String stream = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    for (char c : stream.toCharArray()) {
      forwarded.append(take(String.valueOf(c)));
    }
    assertThat(forwarded).hasToString(stream);
  }

  /** The event interval of an upstream depends on the number of events, not of reads. */
  @Test
  void countsForwardedEvents() throws Exception {
    take("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 2\ndata: b\n\n");
    take("data: without id\n\nid: 4\nda");
    assertThat(blocks.forwardedEvents()).isEqualTo(3);
  }

  /** Ids need not be numbers; no event is filtered then. */
  @Test
  void forwardsEventsWithNonNumericIds() throws Exception {
    assertThat(take("id: b\n\nid: a\n\nid: 99999999999999999999\n\n"))
        .isEqualTo("id: b\n\nid: a\n\nid: 99999999999999999999\n\n");
    assertThat(blocks.lastEventId()).contains("99999999999999999999");
  }

  /**
   * Guards against duplicate events if another upstream resumes a stream whose ids are nanoseconds
   * since 1970: such ids have as many digits as a long can have.
   */
  @Test
  void filtersDuplicatesWithNineteenDigitIds() throws Exception {
    String first = "id: 1764745200000000001\n\n";
    String second = "id: 1764745200000000002\n\n";
    assertThat(take(first)).isEqualTo(first);
    assertThat(take(first + second)).isEqualTo(second);
  }

  /** Guards against a second answer behind a stream that is forwarded as its last event. */
  @Test
  void forwardsNothingFromTheHeadOfAnotherAnswerOn() throws Exception {
    String event = "id: 1\ndata: HTTP/1.1\n\n";
    String answer = "HTTP/1.1 500 Internal Server Error\r\nX: y\r\n\r\nid: 2\ndata: b\n\n";
    assertThat(take(event + answer)).isEqualTo(event);
    assertThat(blocks.isAtOtherAnswer()).isTrue();
    blocks.discardPartialEvent();
    assertThat(take("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    assertThat(blocks.isAtOtherAnswer()).isFalse();
  }

  /** Guards against the same where the other answer arrives in pieces. */
  @Test
  void recognizesAnotherAnswerThatArrivesInPieces() throws Exception {
    StringBuilder forwarded = new StringBuilder();
    for (char c : "id: 1\n\nHTTP/1.1 200 OK\r\nX: y\r\n\r\nid: 2\n\n".toCharArray()) {
      forwarded.append(take(String.valueOf(c)));
    }
    assertThat(forwarded).hasToString("id: 1\n\n");
  }

  /** Guards against a stream that breaks off since its text quotes an answer's head. */
  @Test
  void eventThatQuotesStatusLineIsForwarded() throws Exception {
    String event = "x-version: 3\nid: 1\ndata: HTTP/1.1 200 OK\ndata: Server: some\n\n";
    assertThat(take(event)).isEqualTo(event);
    assertThat(blocks.isAtOtherAnswer()).isFalse();
  }

  /** Guards against a second answer behind a stream that broke off within an event. */
  @Test
  void forwardsNothingOfEventThatAnotherAnswerBreaks() throws Exception {
    String event = "id: 1\ndata: a\n\n";
    String answer = "HTTP/1.1 500 Internal Server Error\r\nX: y\r\n\r\nid: 7\ndata: b\n\n";
    assertThat(take(event + "id: 2\ndata: c" + answer)).isEqualTo(event);
    assertThat(blocks.isAtOtherAnswer()).isTrue();
  }

  /** Guards against the same where the event broke off at the end of a line. */
  @Test
  void forwardsNothingOfEventThatAnotherAnswerFollowsAtLine() throws Exception {
    String event = "id: 1\ndata: a\n\n";
    String answer = "HTTP/1.1 500 Internal Server Error\r\nX: y\r\n\r\nid: 7\ndata: b\n\n";
    assertThat(take(event + "id: 2\ndata: c\n" + answer)).isEqualTo(event);
    assertThat(blocks.isAtOtherAnswer()).isTrue();
  }

  /** Guards against an event in small parts that keeps the event loop busy for seconds. */
  @Test
  @Timeout(10)
  void eventInPartsOfOneByteIsReadOnce() throws Exception {
    SseEventFramer slow = new SseEventFramer();
    byte[] part = {'x'};
    for (int i = 0; i < SseEventFramer.MAX_EVENT_BYTES - 2; i++) {
      assertThat(slow.decode(part)).isEmpty();
    }
    assertThat(slow.decode("\n\n".getBytes(StandardCharsets.UTF_8)))
        .hasSize(SseEventFramer.MAX_EVENT_BYTES);
  }
}
