package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.teaseltrail.forward.AnswerText.Framing;
import org.teaseltrail.forward.AnswerText.Status;
import org.teaseltrail.forward.ScriptedConnection.End;

/**
 * Upstreams that stop in the head of an answer and end the connection. Callers of another system
 * had got a success with an empty or short body. No part of a head may complete a request.
 */
class AnswerHeadProperties {

  private static final String TARGET = "upstream";
  private static final byte[] NOTHING = {};

  /** Where in a head an upstream stops. */
  enum Stop {
    IN_STATUS_LINE {
      @Override
      int bytes(String head, Random random) {
        return random.nextInt(head.indexOf("\r\n") + 1);
      }
    },
    AFTER_STATUS_LINE {
      @Override
      int bytes(String head, Random random) {
        return head.indexOf("\r\n") + 2;
      }
    },
    IN_HEADERS {
      @Override
      int bytes(String head, Random random) {
        int from = head.indexOf("\r\n") + 2;
        return from + random.nextInt(head.length() - 2 - from);
      }
    },
    AFTER_LINE {
      @Override
      int bytes(String head, Random random) {
        int lastLineEnd = head.length() - 4;
        int inHeaders = Math.min(lastLineEnd, IN_HEADERS.bytes(head, random));
        return head.indexOf("\r\n", inHeaders) + 2;
      }
    },
    BEFORE_EMPTY_LINE {
      @Override
      int bytes(String head, Random random) {
        return head.length() - 2;
      }
    },
    IN_EMPTY_LINE {
      @Override
      int bytes(String head, Random random) {
        return head.length() - 1;
      }
    };

    abstract int bytes(String head, Random random);
  }

  /** Guards against a success that is told to a caller though the answer's head wasn't whole. */
  @Property(seed = "71011", tries = 2_000)
  void partOfHeadCompletesNoRequest(
      @ForAll Status status,
      @ForAll Framing framing,
      @ForAll Stop stop,
      @ForAll End end,
      @ForAll @IntRange(max = 2) int interimAnswers,
      @ForAll boolean isFirstOnConnection,
      @ForAll long cutSeed,
      @ForAll @IntRange(min = 1, max = 200) int maxPieceBytes) {
    Random random = new Random(cutSeed);
    UpstreamConnectionPool<String> pool =
        new UpstreamConnectionPool<>(
            null, new FakeHeaderCodec(), new UpstreamConnectionListener<String>() {});
    ScriptedConnection connection = new ScriptedConnection(pool, random, maxPieceBytes);
    pool.adopt(TARGET, connection.connection());
    if (!isFirstOnConnection) {
      exchange(pool, connection);
    }
    assertThat(pool.takeIdle(TARGET, "cut")).containsSame(connection.connection());
    ReceivedAnswer received = new ReceivedAnswer("cut", () -> {});
    connection.send(HttpMethod.GET, received);
    String head = new AnswerText(status, List.of("cut"), "cut", framing, true).head();
    for (int i = 0; i < interimAnswers; i++) {
      connection.answer(ascii("HTTP/1.1 102 Processing\r\n\r\n"), NOTHING);
    }
    connection.answer(Arrays.copyOf(ascii(head), stop.bytes(head, random)), NOTHING);
    assertThat(received.hasEnded()).isFalse();
    connection.end(end);

    assertThat(received.whole()).isEmpty();
    assertThat(received.hasEnded()).isTrue();
    assertThat(connection.isOpen()).isFalse();
    assertThat(pool.takeIdle(TARGET, "next")).isEmpty();
  }

  private static void exchange(UpstreamConnectionPool<String> pool, ScriptedConnection connection) {
    assertThat(pool.takeIdle(TARGET, "whole")).isPresent();
    AnswerText whole =
        new AnswerText(Status.SUCCESS, List.of("whole"), "whole", Framing.LENGTH, true);
    ReceivedAnswer received = new ReceivedAnswer("whole", () -> {});
    connection.send(HttpMethod.GET, received);
    connection.answer(whole.bytes(), NOTHING);
    assertThat(received.whole()).contains(whole.received());
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
