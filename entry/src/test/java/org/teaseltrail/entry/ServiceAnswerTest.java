package org.teaseltrail.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.entry.ScriptedUpstream.Connection;

/** What a caller of a plain service gets when the service answers badly, over real sockets. */
class ServiceAnswerTest {

  private static final String PATH = "/v1/services/portal-app/certificates";
  private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
  private static final int LARGE_BODY_BYTES = 12_000_000;
  private static final int UPLOADS = 10;

  private static ScriptedUpstream service;
  private static EntryTestEnvironment world;

  /** How the service ends its connection. */
  enum End {
    CLOSE {
      @Override
      void end(Connection connection) throws IOException {
        connection.close();
      }
    },
    RESET {
      @Override
      void end(Connection connection) throws IOException {
        connection.reset();
      }
    };

    abstract void end(Connection connection) throws IOException;
  }

  @BeforeAll
  static void open() throws IOException {
    service = new ScriptedUpstream();
    world = new EntryTestEnvironment(service.address(), LARGE_BODY_BYTES);
  }

  @AfterAll
  static void close() throws IOException {
    world.close();
    service.close();
  }

  @AfterEach
  void nextRequestIsServed() throws IOException {
    service.respondWith(
        connection -> {
          connection.readRequest();
          connection.send(WHOLE);
        });
    try (RawCall call = call("").readAll()) {
      assertThat(call.body()).contains("whole");
      assertThat(call.status()).isEqualTo(200);
    }
  }

  private static RawCall call(String body) throws IOException {
    return RawCall.post(world.entry.address().getPort(), "1.1", PATH, body);
  }

  static Stream<Arguments> partsOfHeads() {
    List<String> headers =
        List.of(
            "Content-Length: 1234\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n",
            "Content-Type: text/plain\r\n\r\n");
    List<Arguments> cases = new ArrayList<>();
    for (String status : List.of("HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n")) {
      for (String part : List.of("", "HTTP/1", "HTTP/1.1 200", status.strip(), status)) {
        addBothEnds(cases, part);
      }
      for (String header : headers) {
        for (int cut : new int[] {5, header.indexOf(':') + 1, header.indexOf(':') + 4}) {
          addBothEnds(cases, status + header.substring(0, cut));
        }
        addBothEnds(cases, status + header.substring(0, header.length() - 4));
        addBothEnds(cases, status + header.substring(0, header.length() - 2));
        addBothEnds(cases, status + header.substring(0, header.length() - 1));
      }
    }
    return cases.stream();
  }

  private static void addBothEnds(List<Arguments> cases, String part) {
    for (End end : End.values()) {
      cases.add(Arguments.of(part, end));
    }
  }

  /** Guards against an answer whose head ended early and that reaches the caller as a success. */
  @ParameterizedTest
  @MethodSource("partsOfHeads")
  void partOfHeadIsNoAnswer(String part, End end) throws IOException {
    service.respondWith(
        connection -> {
          connection.readRequest();
          connection.send(part);
          end.end(connection);
        });
    try (RawCall call = call("").readAll()) {
      assertThat(call.status()).as(call.text()).isBetween(500, 599);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
  void answerThatEndsWithItsConnectionIsWhole(String version) throws IOException {
    service.respondWith(
        connection -> {
          connection.readRequest();
          connection.send(version + " 200 OK\r\n\r\npart one, ");
          connection.send("part two");
          connection.close();
        });
    try (RawCall call = call("").readAll()) {
      assertThat(call.isWholeSuccess()).as(call.text()).isTrue();
      assertThat(call.body()).contains("part one, part two");
    }
  }

  static Stream<Arguments> framings() {
    List<Arguments> cases = new ArrayList<>();
    for (String head :
        List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\npart",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
            "HTTP/1.1 200 OK\r\n\r\npart",
            "HTTP/1.0 200 OK\r\n\r\npart")) {
      for (String callerVersion : List.of("1.1", "1.0")) {
        cases.add(Arguments.of(head, callerVersion));
      }
    }
    return cases.stream();
  }

  /** Guards against a part of an answer, ended by a reset, that reaches the caller as the whole. */
  @ParameterizedTest
  @MethodSource("framings")
  void answerThatIsResetIsNotWhole(String part, String callerVersion) throws IOException {
    service.respondWith(
        connection -> {
          connection.readRequest();
          connection.send(part);
        });
    try (RawCall call = RawCall.post(world.entry.address().getPort(), callerVersion, PATH, "")) {
      call.readUntil("part");
      service.latest().reset();
      assertThat(call.readAll().isWholeSuccess()).as(call.text()).isFalse();
    }
  }

  /**
   * Guards against a part of an answer that reaches the caller as the whole because the write of
   * the request to its connection failed.
   */
  @ParameterizedTest
  @MethodSource("framings")
  void answerWhoseRequestFailsIsNotWhole(String part, String callerVersion) throws IOException {
    service.respondWith(
        connection -> {
          connection.readHead();
          connection.send(part);
        });
    String body = "x".repeat(LARGE_BODY_BYTES);
    try (RawCall call = RawCall.post(world.entry.address().getPort(), callerVersion, PATH, body)) {
      call.readUntil("part");
      service.latest().reset();
      assertThat(call.readAll().isWholeSuccess()).as(call.text()).isFalse();
    }
  }

  static Stream<Arguments> resetsDuringUpload() {
    List<Arguments> cases = new ArrayList<>();
    for (int partBytes : new int[] {4, 100_000}) {
      for (int readBytes : new int[] {0, 1_000_000}) {
        for (End end : End.values()) {
          cases.add(Arguments.of(partBytes, readBytes, end));
        }
      }
    }
    return cases.stream();
  }

  /**
   * Guards against the part of an answer that reaches the caller as the whole because the service
   * answered a long upload at once and its connection was reset while the upload was written. A
   * close resets the connection too, since the rest of the upload is unread.
   */
  @ParameterizedTest
  @MethodSource("resetsDuringUpload")
  void answerThatIsResetDuringUploadIsNotWhole(int partBytes, int readBytes, End end)
      throws IOException {
    service.respondWith(
        connection -> {
          connection.readHead();
          connection.send("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(partBytes));
          connection.skip(readBytes);
          end.end(connection);
        });
    String body = "u".repeat(LARGE_BODY_BYTES);
    for (int calls = 0; calls < UPLOADS; calls++) {
      try (RawCall call = call(body).readAll()) {
        assertThat(call.isWholeSuccess()).as("status %s", call.status()).isFalse();
      }
    }
  }

  /** Guards against a second answer of a service that reaches a caller. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"
      })
  void secondAnswerReachesNobody(String first) throws IOException {
    service.respondWith(
        connection -> {
          connection.readRequest();
          connection.send(first + "HTTP/1.1 500 Failed\r\nContent-Length: 3\r\n\r\ntwo");
        });
    try (RawCall call = call("").readAll()) {
      assertThat(call.status()).isEqualTo(200);
      assertThat(call.body()).contains("one");
    }
  }

  /** Guards against a second answer that is sent late and taken for that of the next request. */
  @Test
  void lateSecondAnswerReachesNobody() throws IOException {
    service.respondWith(
        connection -> {
          connection.readRequest();
          connection.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
        });
    call("").readAll().close();
    Connection first = service.latest();
    service.respondWith(
        connection -> {
          connection.readRequest();
          try {
            first.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
          } catch (IOException closed) {
            // The entry VM may have closed the connection already.
          }
          connection.send("HTTP/1.1 500 Failed\r\nContent-Length: 3\r\n\r\nown");
        });
    try (RawCall call = call("").readAll()) {
      assertThat(call.status()).isEqualTo(500);
      assertThat(call.body()).contains("own");
    }
  }

  /** Guards against early answers that are taken for the answer. */
  @ParameterizedTest
  @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints", "199 Other"})
  void earlyAnswerIsNotTheAnswer(String early) throws IOException {
    service.respondWith(
        connection -> {
          connection.readRequest();
          connection.send("HTTP/1.1 " + early + "\r\nLink: a\r\n\r\n");
          connection.send("HTTP/1.1 500 Failed\r\nContent-Length: 3\r\n\r\nown");
        });
    try (RawCall call = call("").readAll()) {
      assertThat(call.status()).as(call.text()).isEqualTo(500);
      assertThat(call.body()).contains("own");
    }
  }

  /** Guards against an upgrade, which nobody asked for, that a caller gets as the answer. */
  @Test
  void upgradeIsNotTheAnswer() throws IOException {
    service.respondWith(
        connection -> {
          connection.readRequest();
          connection.send("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n");
          connection.send(WHOLE);
        });
    try (RawCall call = call("").readAll()) {
      assertThat(call.status()).as(call.text()).isBetween(500, 599);
    }
  }

  /** Guards against early answers without end, which are read until the request's deadline. */
  @ParameterizedTest
  @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints"})
  void earlyAnswersWithoutEndAreGivenUp(String early) throws IOException {
    service.respondWith(
        connection -> {
          connection.readRequest();
          for (int heads = 0; heads < 200_000; heads++) {
            connection.send("HTTP/1.1 " + early + "\r\n\r\n");
          }
          connection.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nend");
        });
    try (RawCall call = call("").readAll()) {
      assertThat(call.status()).as(call.text()).isBetween(500, 599);
    }
  }
}
