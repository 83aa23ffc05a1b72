package org.teaseltrail.entry;

import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.time.Duration;
import org.teaseltrail.core.entry.EntryAction;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.request.UpstreamTarget;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.wire.http.AnswerDecoder;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Creates calls to upstreams.
 *
 * <p>Each call uses a new connection. A pooled connection may have been closed by the upstream in
 * the meantime: the request would be written and lost, and it would be unknown whether it ran.
 * Retries and redirects are disabled, since either would send a request twice.
 */
final class UpstreamCallFactory {

  private static final ComponentLogger LOGGER = new ComponentLogger("entry");
  private static final String HTTP = "http://";

  private final NodeEventLoop loop;
  private final HttpClient client;

  UpstreamCallFactory(NodeEventLoop loop, int connectTimeoutMs, long readTimeoutMs) {
    this.loop = loop;
    this.client =
        HttpClient.create(ConnectionProvider.newConnection())
            .disableRetry(true)
            .followRedirect(false)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .doOnChannelInit((observer, channel, address) -> addHandlers(channel.pipeline()))
            .responseTimeout(Duration.ofMillis(readTimeoutMs));
  }

  private static void addHandlers(ChannelPipeline pipeline) {
    AnswerDecoder.replaceCodecOf(pipeline, new HttpDecoderConfig());
    pipeline.addAfter(NettyPipeline.HttpCodec, null, new InformationalResponseHandler());
    pipeline.addAfter(NettyPipeline.HttpCodec, null, new ResponseEndHandler());
    pipeline.addAfter(NettyPipeline.HttpCodec, null, new JoinedHeadHandler());
  }

  /** Returns an HTTP client for one upstream. */
  HttpClient client(UpstreamTarget target) {
    return client.baseUrl(HTTP + target.address().host() + ":" + target.address().port());
  }

  NodeEventLoop loop() {
    return loop;
  }

  /** Creates a call that dispatches a request to an engine. */
  DispatchCall engine(CallerExchange exchange, int attempt, byte[] body) {
    return new EngineCall(this, exchange, attempt, body);
  }

  /** Creates a call that forwards a request to a plain service. */
  DispatchCall service(ServiceExchange exchange, int attempt) {
    return new ServiceForwardCall(this, exchange, attempt);
  }

  /** Starts a call that requests the rest of a stream from an engine. */
  UpstreamCall startResume(CallerExchange exchange, EntryAction.Resume resume) {
    return EngineResumeCall.start(this, exchange, resume);
  }

  /**
   * Requests an engine to cancel a stream. A failure is only logged, since the engine ends the
   * stream by itself.
   */
  void cancel(RequestId request, UpstreamTarget target) {
    client(target)
        .delete()
        .uri(EngineCall.STREAMS_PATH + "/" + request)
        .response()
        .subscribe(
            response -> {},
            failure -> LOGGER.warn("Cancelling " + request + " at " + target + " failed."));
  }
}
