package org.teaseltrail.forward;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.teaseltrail.core.forward.ForwardAction;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.UpstreamIncarnation;
import org.teaseltrail.core.relay.ProbeKind;
import org.teaseltrail.core.relay.ProbeResult;

/** Probes the paths to upstreams over new connections, without a caller's request. */
final class PathProber {

  /** Time for the answer to a health check; upstreams that have a free slot need milliseconds. */
  private static final long ANSWER_TIMEOUT_MS = 600;

  /**
   * Time to establish a connection. It is longer than that of a caller's request: upstreams that
   * are slow to accept for all VMs are no lost paths.
   */
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /**
   * Time for which a new connection has to stay open: something between may accept connections to
   * upstreams that it can't reach, and reset them at once. Data centres are a few milliseconds
   * apart.
   */
  private static final long STAY_OPEN_MS = 50;

  private final EventLoop loop;
  private final UpstreamConnectionPool<UpstreamIncarnation> pool;
  private final BiConsumer<UpstreamId, ProbeResult> results;

  PathProber(
      EventLoop loop,
      UpstreamConnectionPool<UpstreamIncarnation> pool,
      BiConsumer<UpstreamId, ProbeResult> results) {
    this.loop = loop;
    this.pool = pool;
    this.results = results;
  }

  /** Starts a probe; its result is passed on exactly once. */
  void probe(ForwardAction.Probe probe) {
    Registration upstream = probe.upstream();
    pool.openUnregistered(
        upstream.address(),
        CONNECT_TIMEOUT_MS,
        connection -> onConnected(probe, connection),
        () -> results.accept(upstream.id(), ProbeResult.FAILED));
  }

  private void onConnected(ForwardAction.Probe probe, UpstreamConnection connection) {
    if (probe.kind() == ProbeKind.CONNECT || probe.healthPath().isEmpty()) {
      loop.schedule(() -> onStayedOpen(probe, connection), STAY_OPEN_MS, TimeUnit.MILLISECONDS);
      return;
    }
    HealthCheck check = new HealthCheck(probe.upstream().id(), connection, results);
    connection.send(request(probe), check);
    loop.schedule(check::onTimeout, ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void onStayedOpen(ForwardAction.Probe probe, UpstreamConnection connection) {
    Registration upstream = probe.upstream();
    if (connection.isOpen()) {
      pool.adopt(upstream.upstreamIncarnation(), connection);
      results.accept(upstream.id(), ProbeResult.CONNECTED);
    } else {
      results.accept(upstream.id(), ProbeResult.FAILED);
    }
  }

  private static FullHttpRequest request(ForwardAction.Probe probe) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, probe.healthPath().orElseThrow());
    request
        .headers()
        .set(
            HttpHeaderNames.HOST,
            probe.upstream().address().host() + ":" + probe.upstream().address().port());
    return request;
  }
}
