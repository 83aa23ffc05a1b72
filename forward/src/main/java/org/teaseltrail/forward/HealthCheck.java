package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.BiConsumer;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.relay.ProbeResult;

/** Health check of an upstream. Any answer shows that there is a path, whatever its status. */
final class HealthCheck implements UpstreamResponseListener {

  private final UpstreamId upstream;
  private final UpstreamConnection connection;
  private final BiConsumer<UpstreamId, ProbeResult> results;
  private boolean hasResult;
  private boolean ended;

  HealthCheck(
      UpstreamId upstream,
      UpstreamConnection connection,
      BiConsumer<UpstreamId, ProbeResult> results) {
    this.upstream = upstream;
    this.connection = connection;
    this.results = results;
  }

  @Override
  public String requestId() {
    return "";
  }

  @Override
  public void headReceived(HttpResponse head, ResponseHead read) {
    report(ProbeResult.ANSWERED);
  }

  @Override
  public void bodyReceived(ByteBuf part) {
    // Only the head counts.
  }

  @Override
  public void readCompleted() {
    // Only the head counts.
  }

  @Override
  public void completed() {
    ended = true;
    report(ProbeResult.ANSWERED);
  }

  @Override
  public void failed(AttemptOutcome outcome) {
    ended = true;
    report(ProbeResult.CONNECTED);
  }

  /** Gives the check up, also one whose answer has begun: its body may have no end. */
  void onTimeout() {
    if (!ended) {
      ended = true;
      connection.abort();
      report(ProbeResult.CONNECTED);
    }
  }

  private void report(ProbeResult result) {
    if (!hasResult) {
      hasResult = true;
      results.accept(upstream, result);
    }
  }
}
