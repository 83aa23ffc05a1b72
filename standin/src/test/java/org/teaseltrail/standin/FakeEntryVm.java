package org.teaseltrail.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Receives announcements and cache events over HTTP, as an entry VM does, and records them. */
final class FakeEntryVm implements AutoCloseable {

  private static final int NO_CONTENT = 204;
  private static final int UNAUTHORIZED = 401;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final BlockingQueue<JsonNode> announcements = new LinkedBlockingQueue<>();
  private final BlockingQueue<JsonNode> cacheEvents = new LinkedBlockingQueue<>();
  private final DisposableServer server;

  FakeEntryVm(String secret) {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes
                        .post(
                            "/v1/upstreams/announce",
                            (request, response) ->
                                request
                                    .receive()
                                    .aggregate()
                                    .asByteArray()
                                    .doOnNext(body -> announcements.add(read(body)))
                                    .then(
                                        response
                                            .status(
                                                secret.equals(
                                                        request
                                                            .requestHeaders()
                                                            .get("X-Upstream-Secret"))
                                                    ? NO_CONTENT
                                                    : UNAUTHORIZED)
                                            .send()))
                        .post(
                            "/v1/upstreams/cache-events",
                            (request, response) ->
                                request
                                    .receive()
                                    .aggregate()
                                    .asByteArray()
                                    .doOnNext(body -> cacheEvents.add(read(body)))
                                    .then(response.status(NO_CONTENT).send())))
            .bindNow();
  }

  int port() {
    return ((InetSocketAddress) server.address()).getPort();
  }

  JsonNode nextAnnouncement(Predicate<JsonNode> wanted) {
    JsonNode next = next(announcements);
    while (!wanted.test(next)) {
      next = next(announcements);
    }
    return next;
  }

  JsonNode nextCacheEvent() {
    return next(cacheEvents);
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private static JsonNode next(BlockingQueue<JsonNode> queue) {
    try {
      JsonNode next = queue.poll(10, TimeUnit.SECONDS);
      if (next == null) {
        throw new AssertionError("no message received within 10 seconds");
      }
      return next;
    } catch (InterruptedException interrupted) {
      throw new AssertionError(interrupted);
    }
  }

  private static JsonNode read(byte[] body) {
    try {
      return JSON.readTree(body);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
