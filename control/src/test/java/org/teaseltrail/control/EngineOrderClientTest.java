package org.teaseltrail.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.control.EngineOrder;
import org.teaseltrail.core.control.OrderContent;
import org.teaseltrail.core.control.OrderOutcome;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.UpstreamRole;
import org.teaseltrail.testing.MalformedAnswer;

/** What the leader believes of an order when the engine answers badly, over real sockets. */
class EngineOrderClientTest {

  private static final int MAX_WAIT_S = 30;
  private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  private static final String CONFLICT = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";

  private final BlockingQueue<ControlEvent> events = new LinkedBlockingQueue<>();
  private final EngineOrderClient client = new EngineOrderClient(events::add);
  private long orders;

  private OrderOutcome order(FakeOrderEngine engine) throws InterruptedException {
    orders++;
    client.send(
        new EngineOrder(
            orders,
            new UpstreamId("tutor-llm-1"),
            engine.address(),
            OrderContent.of(UpstreamRole.GENERATE),
            new FencingNumber(1)));
    ControlEvent event = events.poll(MAX_WAIT_S, TimeUnit.SECONDS);
    ControlEvent.OrderAnswered answered = (ControlEvent.OrderAnswered) event;
    assertThat(answered.order().number()).isEqualTo(orders);
    return answered.outcome();
  }

  /**
   * Guards against a late second answer to one order that is taken for that of the next, so that
   * the leader believes in an acceptance that never was.
   */
  @Test
  void lateSecondAnswerIsNotThatOfTheNextOrder() throws Exception {
    AtomicReference<Socket> first = new AtomicReference<>();
    try (FakeOrderEngine engine =
        new FakeOrderEngine(
            (order, uses, socket) -> {
              assertThat(uses).isEqualTo(1);
              if (order == 1) {
                first.set(socket);
                FakeOrderEngine.send(socket, ACCEPTED);
                return;
              }
              sendUnlessClosed(first.get(), ACCEPTED);
              FakeOrderEngine.send(socket, CONFLICT);
            })) {
      assertThat(order(engine)).isEqualTo(OrderOutcome.ACCEPTED);
      assertThat(order(engine)).isEqualTo(OrderOutcome.REFUSED_OLD_FENCING);
    }
  }

  private static void sendUnlessClosed(Socket socket, String text) {
    try {
      FakeOrderEngine.send(socket, text);
    } catch (IOException closed) {
      // The member has closed the connection of the first order.
      assertThat(closed).isInstanceOf(IOException.class);
    }
  }

  /**
   * Guards against a second answer that follows at once and is taken for that of the next order.
   */
  @Test
  void secondAnswerAtOnceIsNotThatOfTheNextOrder() throws Exception {
    try (FakeOrderEngine engine =
        new FakeOrderEngine(
            (order, uses, socket) ->
                FakeOrderEngine.send(
                    socket, order == 1 ? ACCEPTED + ACCEPTED : CONFLICT + CONFLICT))) {
      assertThat(order(engine)).isEqualTo(OrderOutcome.ACCEPTED);
      assertThat(order(engine)).isEqualTo(OrderOutcome.REFUSED_OLD_FENCING);
    }
  }

  /** Guards against an acceptance or a refusal that is read from a head without its end. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.1 202",
        "HTTP/1.1 202 Accepted\r\n",
        "HTTP/1.1 409 Conflict\r\nContent-Le",
        "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n",
        "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r"
      })
  void partOfHeadIsNoAnswer(String part) throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      try (FakeOrderEngine engine =
          new FakeOrderEngine(
              (order, uses, socket) -> {
                FakeOrderEngine.send(socket, part);
                if (reset) {
                  socket.setSoLinger(true, 0);
                }
                socket.close();
              })) {
        assertThat(order(engine)).isEqualTo(OrderOutcome.UNREACHABLE);
      }
    }
  }

  /** Guards against an early answer that is taken for a refusal of an order that was accepted. */
  @ParameterizedTest
  @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints"})
  void earlyAnswerIsNoRefusal(String early) throws Exception {
    try (FakeOrderEngine engine =
        new FakeOrderEngine(
            (order, uses, socket) ->
                FakeOrderEngine.send(socket, "HTTP/1.1 " + early + "\r\n\r\n" + ACCEPTED))) {
      assertThat(order(engine)).isIn(OrderOutcome.ACCEPTED, OrderOutcome.UNREACHABLE);
    }
  }

  /** Guards against an acceptance whose head broke off and was joined with that of a refusal. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 202 Acc",
        "HTTP/1.1 202 ",
        "HTTP/1.1 202 Accepted\r\n",
        "HTTP/1.1 202 Accepted\r\nServer: some"
      })
  void headThatBreaksOffIsNotJoinedWithNextOne(String part) throws Exception {
    try (FakeOrderEngine engine =
        new FakeOrderEngine(
            (order, uses, socket) -> FakeOrderEngine.send(socket, part + CONFLICT))) {
      assertThat(order(engine)).isNotEqualTo(OrderOutcome.ACCEPTED);
    }
  }

  /** Guards against an acceptance that is read from a malformed answer. */
  @ParameterizedTest
  @EnumSource
  void malformedAnswerIsNoAcceptance(MalformedAnswer kind) throws Exception {
    assertMalformedDecidesNothing(kind, "HTTP/1.1 202 Accepted", OrderOutcome.ACCEPTED);
  }

  /** Guards against a refusal that is read from a malformed answer. */
  @ParameterizedTest
  @EnumSource
  void malformedAnswerIsNoRefusal(MalformedAnswer kind) throws Exception {
    assertMalformedDecidesNothing(kind, "HTTP/1.1 409 Conflict", OrderOutcome.REFUSED_OLD_FENCING);
  }

  /** The head alone decides an order, so that a malformed body doesn't take it back. */
  private void assertMalformedDecidesNothing(
      MalformedAnswer kind, String statusLine, OrderOutcome ofHead) throws Exception {
    try (FakeOrderEngine engine =
        new FakeOrderEngine(
            (order, uses, socket) -> {
              FakeOrderEngine.send(socket, kind.text(statusLine, "", "body"));
              socket.close();
            })) {
      OrderOutcome expected = kind.isHeadMalformed() ? OrderOutcome.UNREACHABLE : ofHead;
      assertThat(order(engine)).isEqualTo(expected);
    }
  }
}
