package org.teaseltrail.standin;

import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Sends a value as the JSON body of an HTTP response. */
final class JsonResponse {

  private JsonResponse() {}

  static Mono<Void> send(HttpServerResponse response, int status, Object value) {
    return response
        .status(status)
        .header("Content-Type", "application/json")
        .sendString(Mono.just(UpstreamJson.write(value)))
        .then();
  }
}
