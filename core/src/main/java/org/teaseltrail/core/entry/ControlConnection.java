package org.teaseltrail.core.entry;

import java.util.OptionalLong;
import java.util.TreeMap;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.MemberId;

/** Connection to one control member, with the hellos on it that have not been answered yet. */
final class ControlConnection {

  private final MemberId member;
  private final TreeMap<Long, Long> sentNsBySequence = new TreeMap<>();
  private boolean open;
  private long epoch;
  private long nextHelloNs;
  private long lastReceivedNs;
  private FencingNumber reportedFencing;
  private long reportedSequence;

  ControlConnection(MemberId member) {
    this.member = member;
  }

  void open(long nowNs) {
    open = true;
    epoch++;
    sentNsBySequence.clear();
    nextHelloNs = nowNs;
    lastReceivedNs = nowNs;
    forgetReports();
  }

  void close() {
    open = false;
    sentNsBySequence.clear();
    forgetReports();
  }

  void heard(long nowNs) {
    lastReceivedNs = nowNs;
  }

  /**
   * Returns whether the connection is open but the member has sent nothing for too long.
   *
   * <p>Without this timeout, a connection that is lost silently (a network partition, a paused
   * member) would remain in use: TCP alone may take minutes to detect the loss.
   */
  boolean isSilent(long nowNs, long silenceNs) {
    return open && nowNs - lastReceivedNs > silenceNs;
  }

  boolean isHelloDue(long nowNs) {
    return open && nowNs >= nextHelloNs;
  }

  void helloSent(long sequence, long nowNs, long intervalNs) {
    sentNsBySequence.put(sequence, nowNs);
    nextHelloNs = nowNs + intervalNs;
  }

  /**
   * Returns the time at which the hello was sent, and removes all hellos up to it, so that a
   * duplicate answer has no effect.
   */
  OptionalLong answered(long sequence) {
    Long sentNs = sentNsBySequence.get(sequence);
    if (!open || sentNs == null) {
      return OptionalLong.empty();
    }
    sentNsBySequence.headMap(sequence, true).clear();
    return OptionalLong.of(sentNs);
  }

  /**
   * Returns whether the VM must report all waiting and running requests to the leader: the leader
   * is new, the connection is new (messages in flight on the old one may be lost), or the leader
   * requests the reports again.
   */
  boolean needsReports(FencingNumber fencing, boolean wanted, long sequence) {
    return !fencing.equals(reportedFencing) || wanted && sequence > reportedSequence;
  }

  void reported(FencingNumber fencing, long helloSequence) {
    reportedFencing = fencing;
    reportedSequence = helloSequence;
  }

  void forgetReports() {
    reportedFencing = null;
  }

  MemberId member() {
    return member;
  }

  boolean isOpen() {
    return open;
  }

  long epoch() {
    return epoch;
  }

  long nextHelloNs() {
    return nextHelloNs;
  }
}
