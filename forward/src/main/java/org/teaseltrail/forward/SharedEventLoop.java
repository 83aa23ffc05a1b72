package org.teaseltrail.forward;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.Epoll;
import java.time.Duration;
import reactor.netty.resources.LoopResources;

/**
 * Holds the one event loop of an entry VM. All of its connections share it, so that what one of
 * them brings reaches the others without a wake-up of another thread.
 */
final class SharedEventLoop {

  /** Whether the loop waits by the system's own calls; elsewhere the JDK's selector does. */
  static final boolean NATIVE = Epoll.isAvailable();

  private final LoopResources resources = LoopResources.create("entry", 1, true);
  private final EventLoop loop = resources.onServer(NATIVE).next();

  EventLoop loop() {
    return loop;
  }

  /** Returns the loop in the form that servers and clients of Reactor Netty take. */
  LoopResources resources() {
    return resources;
  }

  /** Makes a channel of a kind that the loop can carry. */
  <T extends Channel> T channel(Class<T> type) {
    return resources.onChannel(type, resources.onServer(NATIVE));
  }

  /** Ends the loop once what runs on it has ended, or soon after. */
  void end(Duration atMost) {
    resources.disposeLater(Duration.ZERO, atMost).subscribe();
  }
}
