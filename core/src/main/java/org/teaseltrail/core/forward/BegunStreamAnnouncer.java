package org.teaseltrail.core.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.stream.BegunStream;
import org.teaseltrail.core.stream.StreamKey;
import org.teaseltrail.core.stream.StreamOrigin;

/**
 * Remembers which version began each resumable stream of this VM, and tells the control members.
 *
 * <p>All members are told of each stream with its first event, whether other versions serve or not:
 * a VM that is lost can't tell it any more when a second version joins. A member with a new
 * connection is told of the recent streams again, a few at a time: it may have started again
 * without what it knew, and messages are lost with a connection.
 */
final class BegunStreamAnnouncer {

  private static final long NS_PER_MS = 1_000_000L;

  /** Time for which an origin is kept if the caller's deadline is shorter. */
  private static final long MIN_RETENTION_MS = 60_000;

  /** Maximum time for which an origin is kept, whatever the caller's deadline. */
  private static final long MAX_RETENTION_MS = 600_000;

  /** Bounds the memory to some 6 MB; the oldest streams are forgotten first. */
  private static final int MAX_STREAMS = 20_000;

  /**
   * Streams told again in one message, and the time between two. All VMs tell a member that has
   * started at the same time.
   */
  private static final int MAX_TOLD_AGAIN = 250;

  private static final long TELL_AGAIN_INTERVAL_NS = 50 * NS_PER_MS;

  private record OwnStream(StreamKey key, StreamOrigin origin, long expiryNs) {

    private boolean isExpired(long nowNs) {
      return nowNs >= expiryNs;
    }

    private BegunStream toMessage(long nowNs) {
      return new BegunStream(key, origin, Math.max(1, (expiryNs - nowNs) / NS_PER_MS));
    }
  }

  private final ControlClient controlClient;
  private final Consumer<ForwardAction> actions;
  private final Map<StreamKey, OwnStream> streams = new LinkedHashMap<>();
  private final Map<VmId, Deque<OwnStream>> untold = new LinkedHashMap<>();
  private long nextTellAgainNs;
  private boolean isLeaderOld;

  BegunStreamAnnouncer(ControlClient controlClient, Consumer<ForwardAction> actions) {
    this.controlClient = controlClient;
    this.actions = actions;
  }

  /** Records a stream whose caller is about to receive the first event, and tells the members. */
  void recordBegun(ActiveRequest request, long nowNs) {
    removeExpired(nowNs);
    Optional<StreamKey> key = StreamKey.of(request.customer(), request.request().id());
    if (key.isEmpty() || request.origin().isEmpty() || !request.route().resumable()) {
      return;
    }
    long expiryNs = nowNs + retentionMs(request) * NS_PER_MS;
    OwnStream stream = new OwnStream(key.get(), request.origin().get(), expiryNs);
    streams.put(stream.key(), stream);
    if (streams.size() > MAX_STREAMS) {
      streams.remove(streams.keySet().iterator().next());
    }
    if (!isLeaderOld) {
      List<BegunStream> begun = List.of(stream.toMessage(nowNs));
      controlClient.members().forEach(member -> tell(member, begun));
    }
  }

  private static long retentionMs(ActiveRequest request) {
    long deadlineMs = request.request().deadlineMs().orElse(request.route().timeoutMs());
    return Math.max(MIN_RETENTION_MS, Math.min(MAX_RETENTION_MS, deadlineMs));
  }

  /** Returns what began a stream of this VM. */
  Optional<StreamOrigin> find(StreamKey key, long nowNs) {
    return Optional.ofNullable(streams.get(key))
        .filter(stream -> !stream.isExpired(nowNs))
        .map(OwnStream::origin);
  }

  /** Notes whether the leader runs a program that knows no origins and must be told none. */
  void setLeaderOld(boolean isOld) {
    if (isLeaderOld && !isOld) {
      controlClient.members().forEach(this::tellAgain);
    }
    isLeaderOld = isOld;
  }

  /** Returns whether the leader runs a program that knows no origins. */
  boolean isLeaderOld() {
    return isLeaderOld;
  }

  /** Plans to tell a member of all recent streams again. */
  void tellAgain(VmId member) {
    if (!streams.isEmpty()) {
      untold.put(member, new ArrayDeque<>(streams.values()));
    }
  }

  /** Tells members of the next streams that they are to be told again. */
  void tick(long nowNs) {
    if (untold.isEmpty() || isLeaderOld || nowNs < nextTellAgainNs) {
      return;
    }
    nextTellAgainNs = nowNs + TELL_AGAIN_INTERVAL_NS;
    untold.forEach((member, waiting) -> tell(member, pollNext(waiting, nowNs)));
    untold.values().removeIf(Deque::isEmpty);
  }

  private static List<BegunStream> pollNext(Deque<OwnStream> waiting, long nowNs) {
    List<BegunStream> next = new ArrayList<>();
    while (!waiting.isEmpty() && next.size() < MAX_TOLD_AGAIN) {
      OwnStream stream = waiting.poll();
      if (!stream.isExpired(nowNs)) {
        next.add(stream.toMessage(nowNs));
      }
    }
    return next;
  }

  OptionalLong nextDueNs() {
    boolean isDue = !untold.isEmpty() && !isLeaderOld;
    return isDue ? OptionalLong.of(nextTellAgainNs) : OptionalLong.empty();
  }

  private void tell(VmId member, List<BegunStream> begun) {
    if (!begun.isEmpty()) {
      ServingMessage message = new ServingMessage.StreamsBegun(controlClient.vm(), begun);
      actions.accept(new ForwardAction.SendControl(member, message));
    }
  }

  /** Drops the oldest streams that have expired; few expire out of order. */
  private void removeExpired(long nowNs) {
    Iterator<OwnStream> oldestFirst = streams.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next().isExpired(nowNs)) {
      oldestFirst.remove();
    }
  }
}
