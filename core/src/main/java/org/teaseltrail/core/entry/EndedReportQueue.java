package org.teaseltrail.core.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.EntryMessage.Ended;

/**
 * Stores the reports of ended requests until a leader has confirmed that it received them.
 *
 * <p>If a report were lost with its connection or its leader, the upstream's slot would stay
 * occupied and the claim would stay open. Messages on a connection keep their order, so that a
 * welcome which answers a hello sent after the report proves that the report was received.
 */
final class EndedReportQueue {

  /**
   * Maximum number of stored reports, which bounds memory while there is no leader; the oldest is
   * dropped first.
   */
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

  /** Sends all reports again, to a new leader or over a new connection. */
  void resendAll() {
    List<Pending> old = new ArrayList<>(pending);
    pending.clear();
    old.forEach(report -> pending.addLast(sendNow(report.ended())));
  }

  private Pending sendNow(EntryMessage.Ended ended) {
    session.sendToLeader(ended);
    return session
        .leaderConnection()
        .map(
            connection ->
                new Pending(ended, connection, connection.epoch(), session.helloSequence()))
        .orElseGet(() -> new Pending(ended, null, 0, 0));
  }

  /** Removes the reports whose receipt a welcome proves. */
  void confirm(ControlConnection connection, long welcomedSequence) {
    pending.removeIf(report -> report.wasReadBefore(connection, welcomedSequence));
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  private record Pending(
      Ended ended, ControlConnection connection, long epoch, long helloSequence) {

    boolean wasReadBefore(ControlConnection answering, long welcomedSequence) {
      return connection == answering
          && epoch == answering.epoch()
          && welcomedSequence > helloSequence;
    }
  }
}
