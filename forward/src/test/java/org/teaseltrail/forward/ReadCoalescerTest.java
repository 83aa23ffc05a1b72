package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against late first events of new requests at a small VM with many long streams: if each
 * event costs a wake-up, a read and a write, forwarding them takes most of its CPU time. Reads are
 * delayed to coalesce events, within bounds that callers don't notice.
 */
class ReadCoalescerTest {

  private static final long MAX_DELAY_MS = 40;
  private static final long LONG_AGE_NS = TimeUnit.SECONDS.toNanos(2);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final UpstreamConnection connection = new UpstreamConnection(null, null);
  private final ReadCoalescer hold = new ReadCoalescer(channel.eventLoop(), MAX_DELAY_MS);

  ReadCoalescerTest() {
    channel.pipeline().addLast(connection);
    channel.freezeTime();
  }

  private boolean isReading() {
    return channel.config().isAutoRead();
  }

  private void advanceTime(long ms) {
    channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  @Test
  void longStreamIsReadAgainWithinTheMaximumDelay() {
    hold.hold(connection, LONG_AGE_NS);
    assertThat(isReading()).isFalse();
    advanceTime(MAX_DELAY_MS);
    assertThat(isReading()).isTrue();
  }

  @Test
  void delayedStreamsAreReadAtTheSameTime() {
    EmbeddedChannel other = new EmbeddedChannel();
    UpstreamConnection second = new UpstreamConnection(null, null);
    other.pipeline().addLast(second);
    hold.hold(connection, LONG_AGE_NS);
    hold.hold(second, LONG_AGE_NS);
    advanceTime(MAX_DELAY_MS);
    assertThat(isReading()).isTrue();
    assertThat(other.config().isAutoRead()).isTrue();
  }

  /** Guards against short responses that occupy their slots at the engine for much longer. */
  @Test
  void youngStreamIsNotDelayed() {
    hold.hold(connection, TimeUnit.MILLISECONDS.toNanos(MAX_DELAY_MS));
    assertThat(isReading()).isTrue();
  }

  @Test
  void zeroDelayDisablesCoalescing() {
    new ReadCoalescer(channel.eventLoop(), 0).hold(connection, LONG_AGE_NS);
    assertThat(isReading()).isTrue();
  }

  /**
   * Guards against buffering the response for a caller that doesn't read, whether reads are delayed
   * or not.
   */
  @Test
  void endOfDelayDoesNotReadForUnwritableCaller() {
    hold.hold(connection, LONG_AGE_NS);
    connection.setCallerWritable(false);
    advanceTime(MAX_DELAY_MS);
    assertThat(isReading()).isFalse();
    connection.setCallerWritable(true);
    assertThat(isReading()).isTrue();
  }
}
