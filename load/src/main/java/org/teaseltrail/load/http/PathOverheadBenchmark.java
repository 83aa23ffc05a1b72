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

/**
 * Benchmark of the overhead of the request path: compares requests that go directly to an engine
 * with the same requests sent through an entry VM.
 */
public final class PathOverheadBenchmark implements AutoCloseable {

  private static final int WARM_UP_REQUESTS = 300;
  private static final int HISTOGRAM_DIGITS = 3;
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
   * Creates the benchmark.
   *
   * @param deployment the deployment whose model is requested
   * @param entryUrl base URL of an entry VM
   * @param standinUrl base URL of a simulated engine
   * @param apiKey API key of a customer
   */
  public PathOverheadBenchmark(
      Deployment deployment, String entryUrl, String standinUrl, String apiKey) {
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

  /**
   * Measures the time to the first chunk of the response body. Requests are sent one at a time,
   * alternating between both paths.
   */
  public List<String> measureLatency(int requests) {
    for (int i = 0; i < WARM_UP_REQUESTS; i++) {
      firstChunkNs(direct()).block();
      firstChunkNs(throughEntryVm()).block();
    }
    Histogram directUs = new Histogram(HISTOGRAM_DIGITS);
    Histogram entryVmUs = new Histogram(HISTOGRAM_DIGITS);
    for (int i = 0; i < requests; i++) {
      directUs.recordValue((long) (firstChunkNs(direct()).block() / NS_PER_US));
      entryVmUs.recordValue((long) (firstChunkNs(throughEntryVm()).block() / NS_PER_US));
    }
    List<String> lines = new ArrayList<>();
    lines.add("| first token, " + requests + " requests each, idle | p50 ms | p99 ms |");
    lines.add("| --- | --- | --- |");
    lines.add(line("engine directly", directUs, 1));
    lines.add(line("whole path", entryVmUs, 1));
    lines.add(
        String.format(
            Locale.ROOT,
            "| added | %.2f | %.2f |",
            (entryVmUs.getValueAtPercentile(50) - directUs.getValueAtPercentile(50)) / US_PER_MS,
            (entryVmUs.getValueAtPercentile(99) - directUs.getValueAtPercentile(99)) / US_PER_MS));
    return lines;
  }

  /**
   * Measures the throughput through the entry VM, in requests per second, with the given number of
   * concurrent requests.
   */
  public String rate(int streams) {
    int requests = Math.max(MIN_RATE_REQUESTS, streams * RATE_REQUESTS_PER_STREAM);
    Histogram firstUs = new Histogram(HISTOGRAM_DIGITS);
    long startNs = System.nanoTime();
    long failed =
        Flux.range(0, requests)
            .flatMap(i -> firstChunkNs(throughEntryVm()).onErrorReturn(-1L), streams, 1)
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

  private HttpClient.ResponseReceiver<?> throughEntryVm() {
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

  /**
   * Returns the time to the first chunk of the response body, after the complete response has been
   * received.
   */
  private static Mono<Long> firstChunkNs(HttpClient.ResponseReceiver<?> call) {
    return Mono.defer(
        () -> {
          long startNs = System.nanoTime();
          return call.response(
                  (response, content) ->
                      response.status().code() == 200
                          ? content.asString().map(part -> System.nanoTime() - startNs)
                          : Flux.error(new UnexpectedStatusException(response.status().code())))
              .collectList()
              .map(times -> times.get(0));
        });
  }

  /**
   * Body of a request to an engine (docs/INTERNALS.md).
   *
   * @param requestId the request's id
   * @param model the model
   * @param version its version
   * @param prompt the prompt
   * @param maxTokens maximum number of tokens to generate
   */
  private record EngineBody(
      String requestId, String model, String version, String prompt, int maxTokens) {}
}
