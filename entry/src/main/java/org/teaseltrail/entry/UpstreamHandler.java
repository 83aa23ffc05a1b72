package org.teaseltrail.entry;

import java.util.Optional;
import java.util.function.Function;
import org.reactivestreams.Publisher;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.entry.UpstreamVerdict;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles upstreams' announcements and cache events. */
final class UpstreamHandler {

  private final BodyReader bodies;
  private final PendingVerdictRegistry answers;

  UpstreamHandler(BodyReader bodies, PendingVerdictRegistry answers) {
    this.bodies = bodies;
    this.answers = answers;
  }

  Publisher<Void> announce(HttpServerRequest request, HttpServerResponse response) {
    String secretHash = secretHash(request);
    return handle(request, response, body -> submitAnnouncement(request, secretHash, body));
  }

  private Mono<UpstreamVerdict> submitAnnouncement(
      HttpServerRequest request, String secretHash, byte[] body) {
    Announcement announcement = AnnouncementParser.announcement(body);
    requireMatchingUpstreamId(request, announcement.upstream());
    return answers.submit(
        number -> new EntryEvent.AnnouncementReceived(number, announcement, secretHash));
  }

  Publisher<Void> cacheEvents(HttpServerRequest request, HttpServerResponse response) {
    String secretHash = secretHash(request);
    return handle(request, response, body -> submitCacheEvent(request, secretHash, body));
  }

  private Mono<UpstreamVerdict> submitCacheEvent(
      HttpServerRequest request, String secretHash, byte[] body) {
    CacheEvent event = AnnouncementParser.cacheEvent(body);
    requireMatchingUpstreamId(request, event.upstream());
    return answers.submit(number -> new EntryEvent.CacheEventReceived(number, event, secretHash));
  }

  private Mono<Void> handle(
      HttpServerRequest request,
      HttpServerResponse response,
      Function<byte[], Mono<UpstreamVerdict>> submitter) {
    return ConnectionScheduler.publishOnEventLoop(response, bodies.read(request).flatMap(submitter))
        .flatMap(verdict -> response.status(verdict.httpStatus()).send().then());
  }

  private static String secretHash(HttpServerRequest request) {
    return Optional.ofNullable(request.requestHeaders().get(HttpConstants.UPSTREAM_SECRET))
        .map(Sha256Hex::ofText)
        .orElse("");
  }

  private static void requireMatchingUpstreamId(HttpServerRequest request, UpstreamId announced) {
    if (!announced.value().equals(request.requestHeaders().get(HttpConstants.UPSTREAM_ID))) {
      throw new RefusedRequestException(
          ProblemKind.MALFORMED_REQUEST, "X-Upstream-Id is missing or differs from the body");
    }
  }
}
