package org.teaseltrail.core.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.EntryMessage.Ended;

/**
 * Holds the reports of ended requests until a leader has certainly read them.
 *
 * <p>Guards against a report that is lost with its connection or its leader: the upstream's window
 * would stay taken and the claim would stay open. A connection keeps its order, so a welcome to a
 * hello that was sent after the report shows that the report was read.
 */
final class EndedReportQueue {

  /** Reports held at most; the oldest goes first, so that memory is bounded without a leader. */
  static final int MAX_REPORTS = 20_000;

  private final ControlSession session;
  private final Deque<Pending> pending = new ArrayDeque<>();

  EndedReportQueue(ControlSession session) {
    this.session = session;
  }

  void send(Ended ended) {
    if (pending.size() == MAX_REPORTS) {
      pending.removeFirst();
    }
    pending.addLast(sendNow(ended));
  }

  /** Sends all again, to a new leader or over a new connection. */
  void resendAll() {
    List<Pending> old = new ArrayList<>(pending);
    pending.clear();
    old.forEach(report -> pending.addLast(sendNow(report.ended())));
  }

  private Pending sendNow(EntryMessage.Ended ended) {
    session.sendToLeader(ended);
    return session
        .leaderConnection()
        .map(link -> new Pending(ended, link, link.epoch(), session.helloSequence()))
        .orElseGet(() -> new Pending(ended, null, 0, 0));
  }

  /** Forgets the reports that the leader has read for certain. */
  void confirm(ControlConnection link, long welcomedSequence) {
    pending.removeIf(report -> report.wasReadBefore(link, welcomedSequence));
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  private record Pending(Ended ended, ControlConnection link, long epoch, long helloSequence) {

    boolean wasReadBefore(ControlConnection answering, long welcomedSequence) {
      return link == answering && epoch == answering.epoch() && welcomedSequence > helloSequence;
    }
  }
}
