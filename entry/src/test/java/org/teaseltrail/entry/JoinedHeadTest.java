package org.teaseltrail.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Services that stop in the head of an answer and then answer the same request whole. */
class JoinedHeadTest {

  private static final String PATH = "/v1/services/portal-app/certificates";
  private static final String FAILURE = "HTTP/1.1 500 Failed\r\nContent-Length: 3\r\n\r\nown";

  private ScriptedUpstream service;
  private EntryTestEnvironment world;

  @BeforeEach
  void open() throws IOException {
    service = new ScriptedUpstream();
    world = new EntryTestEnvironment(service.address(), 64_000);
  }

  @AfterEach
  void close() throws IOException {
    world.close();
    service.close();
  }

  /** Guards against a success whose head broke off and whose body is that of a failure. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 O",
        "HTTP/1.1 200 ",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nServer: some",
        "HTTP/1.1 200 OK\r\nServer: some\r\n"
      })
  void headThatBreaksOffIsNotJoinedWithNextOne(String part) throws IOException {
    service.respondWith(
        connection -> {
          connection.readRequest();
          connection.send(part + FAILURE);
        });
    try (RawCall call = RawCall.post(world.entry.address().getPort(), "1.1", PATH, "").readAll()) {
      assertThat(call.isWholeSuccess()).as(call.text()).isFalse();
    }
  }
}
