package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * An upstream that answers requests by a script, and the model of what each request may get: a
 * request is completed only with the first answer that the upstream wrote for it, whole. Otherwise
 * it fails, and it isn't left open once its answer was there or its connection has ended.
 */
final class ScriptedUpstream {

  private static final String TARGET = "upstream";
  private static final byte[] NOTHING = {};
  private static final byte[] INTERIM =
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

  /** A request, the answer that is its own, and what became of it. */
  private static final class Sent {
    private final String id;
    private final ScriptedConnection connection;
    private final AnswerText own;
    private final boolean isRecognized;
    private ReceivedAnswer received;
    private boolean isAnswered;
    private boolean mayBeHidden;
    private boolean mustBeServed;

    Sent(String id, ScriptedConnection connection, AnswerText own) {
      this.id = id;
      this.connection = connection;
      this.own = own;
      isRecognized = !own.ids().isEmpty() || connection.requests() == 0;
    }
  }

  private final UpstreamConnectionPool<String> pool =
      new UpstreamConnectionPool<>(
          null, new FakeHeaderCodec(), new UpstreamConnectionListener<String>() {});
  private final List<ScriptedConnection> connections = new ArrayList<>();
  private final List<Sent> sent = new ArrayList<>();
  private final List<AnswerStep> steps;
  private final Random random;
  private final int maxPieceBytes;

  ScriptedUpstream(List<AnswerStep> steps, long cutSeed, int maxPieceBytes) {
    this.steps = steps;
    this.maxPieceBytes = maxPieceBytes;
    random = new Random(cutSeed);
  }

  /** Sends all requests one after the other, and checks what each has got. */
  void play() {
    for (int i = 0; i < steps.size(); i++) {
      if (sent.size() == i) {
        sendNext();
      }
      answer(steps.get(i), sent.get(i));
      check(sent.get(i));
    }
    connections.forEach(ScriptedConnection::close);
    sent.forEach(this::check);
  }

  private void sendNext() {
    int number = sent.size();
    AnswerStep step = steps.get(number);
    boolean repeats = step.repeatsId() && number > 0;
    String id = repeats ? sent.get(number - 1).id : "request-" + number;
    ScriptedConnection connection = take(id, step.otherConnection());
    List<String> ids = step.named() ? List.of(id) : List.of();
    boolean hasBody = !step.method().equals(HttpMethod.HEAD);
    AnswerText own =
        new AnswerText(step.status(), ids, "answer " + number, step.framing(), hasBody);
    Sent next = new Sent(id, connection, own);
    sent.add(next);
    next.received = new ReceivedAnswer(id, () -> onCompleted(number));
    connection.send(step.method(), next.received);
  }

  private void onCompleted(int number) {
    boolean isLast = sent.size() == number + 1;
    if (steps.get(number).isSentAtOnce() && isLast && sent.size() < steps.size()) {
      sendNext();
    }
  }

  private ScriptedConnection take(String id, boolean other) {
    ScriptedConnection first = take(id);
    if (!other) {
      return first;
    }
    ScriptedConnection second = take(id);
    pool.release(first.connection());
    return second;
  }

  private ScriptedConnection take(String id) {
    return pool.takeIdle(TARGET, id).map(this::scripted).orElseGet(() -> open(id));
  }

  private ScriptedConnection open(String id) {
    ScriptedConnection opened = new ScriptedConnection(pool, random, maxPieceBytes);
    connections.add(opened);
    pool.adopt(TARGET, opened.connection());
    assertThat(pool.takeIdle(TARGET, id)).containsSame(opened.connection());
    return opened;
  }

  private ScriptedConnection scripted(UpstreamConnection taken) {
    return connections.stream()
        .filter(connection -> connection.connection() == taken)
        .findFirst()
        .orElseThrow();
  }

  private void answer(AnswerStep step, Sent request) {
    ScriptedConnection connection = request.connection;
    connection.startAnswer();
    if (!connection.isOpen()) {
      return;
    }
    request.mayBeHidden = connection.holdsBrokenOffAnswer();
    request.mustBeServed = request.isRecognized && !connection.isDisturbed();
    request.isAnswered = !request.own.endsWithConnection();
    byte[] own = withInterim(step, request.own);
    if (request.own.framing().closes()) {
      connection.dropLateBytes();
      connection.answer(own, NOTHING);
      request.isAnswered = true;
      connection.end(ScriptedConnection.End.CLOSE);
    } else {
      byte[] second = second(step, request);
      boolean isJoined = step.moment() == AnswerStep.Moment.SAME_READ;
      connection.answer(own, isJoined ? second : NOTHING);
      writeLate(step.moment(), connection, second);
    }
  }

  private byte[] second(AnswerStep step, Sent request) {
    if (step.second() == AnswerStep.Second.NONE) {
      return NOTHING;
    }
    byte[] bytes = step.second().of(request.id, request.own).bytes();
    boolean breaksOff = step.second() == AnswerStep.Second.BROKEN_OFF;
    if (breaksOff) {
      request.connection.markBrokenOffAnswer();
    }
    return breaksOff ? Arrays.copyOf(bytes, 1 + random.nextInt(bytes.length)) : bytes;
  }

  private static byte[] withInterim(AnswerStep step, AnswerText own) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int i = 0; i < step.interimAnswers(); i++) {
      all.writeBytes(INTERIM);
    }
    all.writeBytes(own.bytes());
    return all.toByteArray();
  }

  private void writeLate(AnswerStep.Moment moment, ScriptedConnection connection, byte[] bytes) {
    if (bytes.length == 0) {
      return;
    }
    int half = random.nextInt(bytes.length);
    switch (moment) {
      case SAME_READ -> {}
      case IDLE -> connection.writeUnasked(bytes);
      case AFTER_NEXT_REQUEST -> connection.writeAfterNextRequest(bytes);
      case AROUND_NEXT_REQUEST -> {
        connection.writeUnasked(Arrays.copyOf(bytes, half));
        connection.writeAfterNextRequest(Arrays.copyOfRange(bytes, half, bytes.length));
      }
      case AFTER_NEXT_ANSWER -> connection.writeAfterNextAnswer(bytes);
      default -> throw new IllegalArgumentException(moment.name());
    }
  }

  private void check(Sent request) {
    assertThat(request.connection.isUsedAfterEnd()).as("use of an ended connection").isFalse();
    assertThat(request.received.hasEndedTwice()).as("two ends of %s", request.id).isFalse();
    Optional<String> whole = request.received.whole();
    Optional<String> own = Optional.of(request.own.received()).filter(text -> request.isAnswered);
    whole.ifPresent(text -> assertThat(own).as(request.id).contains(text));
    if (request.mustBeServed) {
      assertThat(whole).as("own answer of %s", request.id).isPresent();
    }
    // An answer that begins within an earlier one can't be told from a part of that one.
    if ((request.isAnswered && !request.mayBeHidden) || !request.connection.isOpen()) {
      assertThat(request.received.hasEnded()).as("end of %s", request.id).isTrue();
    }
  }
}
