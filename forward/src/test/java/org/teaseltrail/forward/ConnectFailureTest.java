package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.upstream.SocketAddress;

/** Connections that can't be opened since the process has no free descriptor. */
class ConnectFailureTest {

  private static final SocketAddress ADDRESS = new SocketAddress("127.0.0.1", 9);
  private static final int TIMEOUT_MS = 5_000;

  private final NoDescriptorLoop loop = new NoDescriptorLoop();
  private final UpstreamConnectionPool<String> pool =
      new UpstreamConnectionPool<>(
          loop, new FakeHeaderCodec(), new UpstreamConnectionListener<String>() {});

  @AfterEach
  void end() {
    loop.end(Duration.ZERO);
  }

  /** Guards against two threads in an entry VM's state once its descriptors are used up. */
  @Test
  void failureIsToldOnTheEventLoop() throws Exception {
    CompletableFuture<Boolean> toldOnLoop = new CompletableFuture<>();
    loop.run(
        () ->
            pool.acquire(
                "upstream",
                ADDRESS,
                "request",
                connection -> toldOnLoop.completeExceptionally(new IllegalStateException()),
                () -> toldOnLoop.complete(loop.loop().inEventLoop())));
    assertThat(toldOnLoop.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
  }

  /** Has no descriptor for another channel. */
  private static final class NoDescriptorLoop extends SharedEventLoop {

    @Override
    <T extends Channel> T newChannel(Class<T> type) {
      throw new ChannelException("too many open files");
    }
  }
}
