package org.teaseltrail.load.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.teaseltrail.load.workload.Deployment;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Compares a request to an engine with the same request through the whole path. */
public final class PathComparison implements AutoCloseable {

  private static final int WARM_UP = 300;
  private static final int DIGITS = 3;
  private static final double NS_PER_US = 1e3;
  private static final double NS_PER_SECOND = 1e9;
  private static final double US_PER_MS = 1e3;
  private static final int RATE_REQUESTS_PER_STREAM = 20;
  private static final int MIN_RATE_REQUESTS = 2_000;
  private static final String PROMPT = "Who chairs the board this year?";

  private final Deployment deployment;
  private final String entryUrl;
  private final String standinUrl;
  private final String apiKey;
  private final ConnectionProvider connections;
  private final HttpClient client;
  private long sent;

  /**
   * Prepares the comparison.
   *
   * @param deployment whose model is asked for
   * @param entryUrl base URL of an entry VM
   * @param standinUrl base URL of an engine
   * @param apiKey a customer's key
   */
  public PathComparison(Deployment deployment, String entryUrl, String standinUrl, String apiKey) {
    this.deployment = deployment;
    this.entryUrl = entryUrl;
    this.standinUrl = standinUrl;
    this.apiKey = apiKey;
    this.connections =
        ConnectionProvider.builder("compare")
            .maxConnections(4_000)
            .pendingAcquireMaxCount(-1)
            .build();
    this.client = HttpClient.create(connections).disableRetry(true);
  }

  /** Measures the time to the first part of an answer, one request after the other, in turn. */
  public List<String> latency(int requests) {
    for (int i = 0; i < WARM_UP; i++) {
      firstPartNs(direct()).block();
      firstPartNs(wholePath()).block();
    }
    Histogram directUs = new Histogram(DIGITS);
    Histogram wholeUs = new Histogram(DIGITS);
    for (int i = 0; i < requests; i++) {
      directUs.recordValue((long) (firstPartNs(direct()).block() / NS_PER_US));
      wholeUs.recordValue((long) (firstPartNs(wholePath()).block() / NS_PER_US));
    }
    List<String> lines = new ArrayList<>();
    lines.add("| first token, " + requests + " requests each, idle | p50 ms | p99 ms |");
    lines.add("| --- | --- | --- |");
    lines.add(line("engine directly", directUs, 1));
    lines.add(line("whole path", wholeUs, 1));
    lines.add(
        String.format(
            Locale.ROOT,
            "| added | %.2f | %.2f |",
            (wholeUs.getValueAtPercentile(50) - directUs.getValueAtPercentile(50)) / US_PER_MS,
            (wholeUs.getValueAtPercentile(99) - directUs.getValueAtPercentile(99)) / US_PER_MS));
    return lines;
  }

  /** Measures requests a second through the entry VM with so many requests at once. */
  public String rate(int streams) {
    int requests = Math.max(MIN_RATE_REQUESTS, streams * RATE_REQUESTS_PER_STREAM);
    Histogram firstUs = new Histogram(DIGITS);
    long startNs = System.nanoTime();
    long failed =
        Flux.range(0, requests)
            .flatMap(i -> firstPartNs(wholePath()).onErrorReturn(-1L), streams, 1)
            .doOnNext(ns -> firstUs.recordValue((long) (Math.max(0, ns) / NS_PER_US)))
            .filter(ns -> ns < 0)
            .count()
            .block();
    double seconds = (System.nanoTime() - startNs) / NS_PER_SECOND;
    return String.format(
        Locale.ROOT,
        "%d streams at once: %.0f requests a second, first token p50 %.2f p99 %.2f ms, %d failed",
        streams,
        requests / seconds,
        firstUs.getValueAtPercentile(50) / US_PER_MS,
        firstUs.getValueAtPercentile(99) / US_PER_MS,
        failed);
  }

  @Override
  public void close() {
    connections.dispose();
  }

  private static String line(String name, Histogram us, int scale) {
    return String.format(
        Locale.ROOT,
        "| %s | %.2f | %.2f |",
        name,
        us.getValueAtPercentile(50) / US_PER_MS / scale,
        us.getValueAtPercentile(99) / US_PER_MS / scale);
  }

  private HttpClient.ResponseReceiver<?> direct() {
    String id = "compare-" + System.nanoTime() + "-" + sent++;
    String body =
        CallerJson.write(
            new EngineBody(
                id, deployment.model().value(), deployment.version().value(), PROMPT, 1));
    return client
        .headers(
            h -> h.set("X-Request-Id", id).set(HttpHeaderNames.CONTENT_TYPE, "application/json"))
        .post()
        .uri(standinUrl + "/v1/streams")
        .send(ByteBufFlux.fromString(Mono.just(body)));
  }

  private HttpClient.ResponseReceiver<?> wholePath() {
    String body =
        CallerJson.write(
            new CallerJson.GenerateBody(
                deployment.model().value(),
                deployment.version().value(),
                PROMPT,
                1,
                true,
                null,
                true));
    return client
        .headers(
            h ->
                h.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + apiKey)
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json"))
        .post()
        .uri(entryUrl + "/v1/generate")
        .send(ByteBufFlux.fromString(Mono.just(body)));
  }

  /** Returns the time to the first part of the answer, once the whole answer has come. */
  private static Mono<Long> firstPartNs(HttpClient.ResponseReceiver<?> call) {
    return Mono.defer(
        () -> {
          long startNs = System.nanoTime();
          return call.response(
                  (response, content) ->
                      response.status().code() == 200
                          ? content.asString().map(part -> System.nanoTime() - startNs)
                          : Flux.error(new RefusedException(response.status().code())))
              .collectList()
              .map(times -> times.get(0));
        });
  }

  /**
   * Is a request to an engine (docs/INTERNALS.md).
   *
   * @param requestId the request
   * @param model the model
   * @param version its version
   * @param prompt the prompt
   * @param maxTokens bound on the answer
   */
  private record EngineBody(
      String requestId, String model, String version, String prompt, int maxTokens) {}
}
