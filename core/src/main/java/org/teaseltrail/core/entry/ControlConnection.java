package org.teaseltrail.core.entry;

import java.util.OptionalLong;
import java.util.TreeMap;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.MemberId;

/** Is the connection to one control member, with the hellos that are under way on it. */
final class ControlConnection {

  private final MemberId member;
  private final TreeMap<Long, Long> sentNsBySequence = new TreeMap<>();
  private boolean open;
  private long epoch;
  private long nextHelloNs;
  private long lastHeardNs;
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
    lastHeardNs = nowNs;
    forgetReports();
  }

  void close() {
    open = false;
    sentNsBySequence.clear();
    forgetReports();
  }

  void heard(long nowNs) {
    lastHeardNs = nowNs;
  }

  /**
   * Returns whether the member has said nothing for too long.
   *
   * <p>Guards against a link that is cut without a word (a silent partition, a frozen member): TCP
   * alone would not tell for minutes, and the VM would wait on a dead connection.
   */
  boolean isSilent(long nowNs, long silenceNs) {
    return open && nowNs - lastHeardNs > silenceNs;
  }

  boolean isHelloDue(long nowNs) {
    return open && nowNs >= nextHelloNs;
  }

  void helloSent(long sequence, long nowNs, long intervalNs) {
    sentNsBySequence.put(sequence, nowNs);
    nextHelloNs = nowNs + intervalNs;
  }

  /**
   * Returns when the hello was sent; hellos up to it are forgotten, so doubled answers are idle.
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
   * Returns whether the leader at the other end must be told of all that waits and runs: it is new,
   * the connection is new (what was under way on the old one may be lost), or it asks again.
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
