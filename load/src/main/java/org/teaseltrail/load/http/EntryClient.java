package org.teaseltrail.load.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.PlannedRequest;
import org.teaseltrail.standin.model.AnswerLength;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * HTTP client that sends requests to the entry VMs in round-robin order, as callers behind a load
 * balancer do.
 */
final class EntryClient implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 4_000;

  /** Time after the useful deadline at which the client stops waiting for the response. */
  private static final Duration TIMEOUT_AFTER_DEADLINE = Duration.ofSeconds(10);

  private final Deployment deployment;
  private final List<String> entryUrls;
  private final Map<CustomerId, String> apiKeys;
  private final long runId;
  private final ConnectionProvider connections;
  private final HttpClient client;

  /**
   * Creates the client.
   *
   * @param deployment the deployment that receives the requests
   * @param entryUrls base URLs of the entry VMs
   * @param apiKeys an API key for each customer
   * @param runId prefix that keeps the idempotency keys of different runs distinct
   */
  EntryClient(
      Deployment deployment, List<String> entryUrls, Map<CustomerId, String> apiKeys, long runId) {
    this.deployment = deployment;
    this.entryUrls = List.copyOf(entryUrls);
    this.apiKeys = Map.copyOf(apiKeys);
    this.runId = runId;
    this.connections =
        ConnectionProvider.builder("load")
            .maxConnections(MAX_CONNECTIONS)
            .pendingAcquireMaxCount(-1)
            .build();
    this.client = HttpClient.create(connections).disableRetry(true);
  }

  /**
   * Sends a generation request and reads its response to the end. The returned {@code Mono} never
   * signals an error; failures are reported in the result.
   *
   * @param planned the request
   * @param intendedNs when it should have been sent; latencies are measured from this time to avoid
   *     coordinated omission, that is, a late sender hiding waiting time
   */
  Mono<CallResult> generate(PlannedRequest planned, long intendedNs) {
    String prompt = planned.prompt().text();
    String expected = ExpectedResponse.text(prompt, planned.outputTokens(), AnswerLength.EXACT);
    GenerationResponseReader reader = new GenerationResponseReader(planned, expected, intendedNs);
    Duration limit =
        Duration.ofMillis(planned.kind().usefulDeadlineMs()).plus(TIMEOUT_AFTER_DEADLINE);
    return client
        .headers(h -> addHeaders(h, planned))
        .post()
        .uri(baseUrl(planned) + "/v1/generate")
        .send(ByteBufFlux.fromString(Mono.just(body(planned, prompt))))
        .response(
            (response, content) -> {
              String id = response.responseHeaders().get("X-Request-Id");
              reader.head(response.status().code(), id);
              return content.asString().doOnNext(c -> reader.chunk(c, System.nanoTime()));
            })
        .then()
        .timeout(limit)
        .onErrorResume(
            e -> {
              reader.broken(e);
              return Mono.empty();
            })
        .then(Mono.fromSupplier(() -> reader.result(System.nanoTime())));
  }

  /**
   * Calls the plain service and reads the complete response. The returned {@code Mono} never
   * signals an error; failures are reported in the result.
   *
   * @param planned the request
   * @param intendedNs when it should have been sent
   */
  Mono<CallResult> callService(PlannedRequest planned, long intendedNs) {
    ServiceResponseReader answer = new ServiceResponseReader(planned, intendedNs);
    Duration limit =
        Duration.ofMillis(planned.kind().usefulDeadlineMs()).plus(TIMEOUT_AFTER_DEADLINE);
    HttpMethod method = planned.kind().idempotent() ? HttpMethod.GET : HttpMethod.POST;
    String path = "/v1/services/" + deployment.service() + "/" + planned.kind().name();
    return client
        .headers(h -> addHeaders(h, planned))
        .request(method)
        .uri(baseUrl(planned) + path + "?n=" + planned.index())
        .responseSingle(
            (response, content) -> {
              answer.head(response.status().code(), response.responseHeaders());
              return content.asString().defaultIfEmpty("");
            })
        .doOnNext(answer::body)
        .then()
        .timeout(limit)
        .onErrorResume(
            e -> {
              answer.broken(e);
              return Mono.empty();
            })
        .then(Mono.fromSupplier(() -> answer.result(System.nanoTime())));
  }

  @Override
  public void close() {
    connections.dispose();
  }

  private String baseUrl(PlannedRequest planned) {
    return entryUrls.get(planned.index() % entryUrls.size());
  }

  private void addHeaders(HttpHeaders headers, PlannedRequest planned) {
    headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + apiKeys.get(planned.customer()));
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    if (!planned.kind().idempotent()) {
      headers.set("Idempotency-Key", runId + "-" + planned.index());
    }
  }

  private String body(PlannedRequest planned, String prompt) {
    Long deadlineMs = planned.kind().sendsDeadline() ? planned.kind().usefulDeadlineMs() : null;
    return CallerJson.write(
        new CallerJson.GenerateBody(
            deployment.model().value(),
            deployment.version().value(),
            prompt,
            planned.outputTokens(),
            planned.kind().idempotent(),
            deadlineMs,
            true));
  }
}
