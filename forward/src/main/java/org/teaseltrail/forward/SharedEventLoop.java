package org.teaseltrail.forward;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.Epoll;
import java.time.Duration;
import reactor.netty.resources.LoopResources;

/**
 * The event loop of an entry VM. All connections share it, so that data received on one connection
 * is written to another without waking up a second thread.
 */
class SharedEventLoop {

  /** Whether the loop uses the native epoll transport; otherwise it uses the JDK's selector. */
  static final boolean NATIVE = Epoll.isAvailable();

  private final LoopResources resources = LoopResources.create("entry", 1, true);
  private final EventLoop loop = resources.onServer(NATIVE).next();

  final EventLoop loop() {
    return loop;
  }

  /** Returns the loop as resources for servers and clients of Reactor Netty. */
  final LoopResources resources() {
    return resources;
  }

  /** Creates a channel of the given type for the transport of the loop. */
  <T extends Channel> T newChannel(Class<T> type) {
    return resources.onChannel(type, resources.onServer(NATIVE));
  }

  /** Runs a task on the loop: now, if this is its thread. */
  final void run(Runnable task) {
    if (loop.inEventLoop()) {
      task.run();
    } else {
      loop.execute(task);
    }
  }

  /** Shuts the loop down once its tasks have ended, at the latest after the given time. */
  final void end(Duration timeout) {
    resources.disposeLater(Duration.ZERO, timeout).subscribe();
  }
}
