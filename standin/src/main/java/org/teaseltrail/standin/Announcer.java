package org.teaseltrail.standin;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;
import org.teaseltrail.runtime.log.ComponentLogger;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends announcements to every entry VM and each cache event to one of them. An announcement to an
 * unreachable VM isn't retried, as the next one follows within a second by default; a cache event
 * is sent to another VM instead.
 */
final class Announcer implements AutoCloseable {

  private static final int NO_CONTENT = 204;
  private static final int UNREACHABLE = 0;
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final ComponentLogger logger = new ComponentLogger("standin");
  private final List<InetSocketAddress> entries;
  private final Map<InetSocketAddress, Integer> lastStatus = new ConcurrentHashMap<>();
  private final ConnectionProvider connections = ConnectionProvider.create("announce");
  private final HttpClient client;
  private final List<ConflatingSender> lanes;

  Announcer(String upstream, String secret, List<InetSocketAddress> entries) {
    this.entries = List.copyOf(entries);
    this.client =
        HttpClient.create(connections)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .responseTimeout(TIMEOUT)
            .headers(headers -> addIdentityHeaders(headers, upstream, secret));
    this.lanes =
        this.entries.stream()
            .map(entry -> new ConflatingSender(body -> post(entry, "/v1/upstreams/announce", body)))
            .toList();
  }

  void announce(Announcement announcement) {
    String body = UpstreamJson.write(announcement);
    lanes.forEach(lane -> lane.send(body));
  }

  void publishCacheEvent(CacheEvent event) {
    String body = UpstreamJson.write(event);
    int firstEntry = Math.floorMod(event.upstream().hashCode(), entries.size());
    postCacheEvent(body, firstEntry, entries.size()).subscribe();
  }

  @Override
  public void close() {
    connections.dispose();
  }

  private Mono<Integer> postCacheEvent(String body, int index, int remaining) {
    InetSocketAddress entry = entries.get(index % entries.size());
    return post(entry, "/v1/upstreams/cache-events", body)
        .flatMap(
            status ->
                status == UNREACHABLE && remaining > 1
                    ? postCacheEvent(body, index + 1, remaining - 1)
                    : Mono.just(status));
  }

  private Mono<Integer> post(InetSocketAddress entry, String path, String body) {
    return client
        .post()
        .uri("http://" + text(entry) + path)
        .send(ByteBufFlux.fromString(Mono.just(body)))
        .responseSingle((response, content) -> content.then(Mono.just(response.status().code())))
        .onErrorReturn(UNREACHABLE)
        .doOnNext(status -> recordStatus(entry, status));
  }

  private void recordStatus(InetSocketAddress entry, int status) {
    Integer before = lastStatus.put(entry, status);
    if (before != null && before == status) {
      return;
    }
    String address = text(entry);
    if (status == NO_CONTENT) {
      logger.info("Reports are accepted by entry VM " + address + ".");
    } else if (status == UNREACHABLE) {
      logger.warn("Entry VM " + address + " is unreachable.");
    } else {
      logger.warn("Entry VM " + address + " rejected a report with status " + status + ".");
    }
  }

  private static String text(InetSocketAddress address) {
    return NetUtil.toSocketAddressString(address);
  }

  private static void addIdentityHeaders(HttpHeaders headers, String upstream, String secret) {
    headers
        .set("X-Upstream-Id", upstream)
        .set("X-Upstream-Secret", secret)
        .set("Content-Type", "application/json");
  }
}
