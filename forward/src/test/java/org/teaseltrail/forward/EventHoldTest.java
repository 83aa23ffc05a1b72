package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Many long streams at a small VM: each event alone costs a wake-up, a read and a write, and a VM
 * that is busy with them is late with the first events of new requests. The hold lets events
 * gather, bounded so that no caller notices.
 */
class EventHoldTest {

  private static final long HOLD_MS = 40;
  private static final long LONG_AGE_NS = TimeUnit.SECONDS.toNanos(2);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final UpstreamConnection connection = new UpstreamConnection(null, null);
  private final EventHold hold = new EventHold(channel.eventLoop(), HOLD_MS);

  EventHoldTest() {
    channel.pipeline().addLast(connection);
    channel.freezeTime();
  }

  private boolean reads() {
    return channel.config().isAutoRead();
  }

  private void pass(long ms) {
    channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  @Test
  void longStreamIsReadAgainWithinTheHold() {
    hold.hold(connection, LONG_AGE_NS);
    assertThat(reads()).isFalse();
    pass(HOLD_MS);
    assertThat(reads()).isTrue();
  }

  @Test
  void streamsAreReadAgainAtTheSameMoment() {
    EmbeddedChannel other = new EmbeddedChannel();
    UpstreamConnection second = new UpstreamConnection(null, null);
    other.pipeline().addLast(second);
    hold.hold(connection, LONG_AGE_NS);
    hold.hold(second, LONG_AGE_NS);
    pass(HOLD_MS);
    assertThat(reads()).isTrue();
    assertThat(other.config().isAutoRead()).isTrue();
  }

  /** A short answer would hold its place at the engine for a good part longer. */
  @Test
  void youngStreamIsNotHeld() {
    hold.hold(connection, TimeUnit.MILLISECONDS.toNanos(HOLD_MS));
    assertThat(reads()).isTrue();
  }

  @Test
  void holdOfNothingLeavesEveryStreamAlone() {
    new EventHold(channel.eventLoop(), 0).hold(connection, LONG_AGE_NS);
    assertThat(reads()).isTrue();
  }

  /** A caller that doesn't read must not make this VM gather its answer, hold or no hold. */
  @Test
  void endOfHoldDoesNotReadForCallerThatIsFull() {
    hold.hold(connection, LONG_AGE_NS);
    connection.readMore(false);
    pass(HOLD_MS);
    assertThat(reads()).isFalse();
    connection.readMore(true);
    assertThat(reads()).isTrue();
  }
}
