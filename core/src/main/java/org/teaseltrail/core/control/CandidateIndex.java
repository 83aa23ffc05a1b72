package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.teaseltrail.core.serving.QueueState;

/**
 * The waiting requests of one service at all entry VMs that are next in turn for a slot, ordered
 * within each urgency and customer by the time since which they wait.
 *
 * <p>Each VM reports each change of its queue. If each report made the leader go through the queues
 * of all VMs, its work would grow with the square of their number.
 */
final class CandidateIndex {

  /** A VM's group of requests of one urgency and customer. */
  static final class Group {
    private final QueueState.WaitTimes waiting;
    private final WaitingClass waitingClass;
    private final int position;
    private Optional<EntryVmSlotState.Candidate> next = Optional.empty();

    /**
     * Creates a group without a candidate.
     *
     * @param waiting its requests as the VM reported them
     * @param position its position in the VM's report
     */
    Group(QueueState.WaitTimes waiting, int position) {
      this.waiting = waiting;
      this.position = position;
      waitingClass = new WaitingClass(waiting.urgency(), waiting.customer());
    }

    QueueState.WaitTimes waiting() {
      return waiting;
    }

    WaitingClass waitingClass() {
      return waitingClass;
    }

    private EntryVmSlotState.Candidate candidate() {
      return next.orElseThrow();
    }

    private String vm() {
      return candidate().vm().id().value();
    }
  }

  private static final Comparator<Group> REPORTED_ORDER =
      Comparator.comparing(Group::vm).thenComparingInt(group -> group.position);

  private static final Comparator<Group> LONGEST_WAITING_FIRST =
      Comparator.<Group>comparingLong(group -> group.candidate().waitingSinceNs())
          .thenComparing(REPORTED_ORDER);

  private static final class ClassQueue {
    private final TreeSet<Group> groups = new TreeSet<>(LONGEST_WAITING_FIRST);
    private int groupCount;
    private int requests;
  }

  private final Map<WaitingClass, ClassQueue> queues = new HashMap<>();
  private int candidateCount;

  /** Adds a VM's group, which has no candidate yet. */
  void add(Group group) {
    ClassQueue queue = queues.computeIfAbsent(group.waitingClass, key -> new ClassQueue());
    queue.groupCount++;
    queue.requests += group.waiting.waitedMs().size();
  }

  /** Sets the first request of a group that is not covered by a grant; empty if all are. */
  void setNext(Group group, Optional<EntryVmSlotState.Candidate> next) {
    ClassQueue queue = queues.get(group.waitingClass);
    if (group.next.isPresent()) {
      queue.groups.remove(group);
      candidateCount--;
    }
    group.next = next;
    if (next.isPresent()) {
      queue.groups.add(group);
      candidateCount++;
    }
  }

  /** Removes a group. */
  void remove(Group group) {
    setNext(group, Optional.empty());
    ClassQueue queue = queues.get(group.waitingClass);
    queue.groupCount--;
    queue.requests -= group.waiting.waitedMs().size();
    if (queue.groupCount == 0) {
      queues.remove(group.waitingClass);
    }
  }

  /** Returns whether any request waits, whether covered by a grant or not. */
  boolean hasRequests() {
    return !queues.isEmpty();
  }

  /** Returns whether no request waits that is not covered by a grant. */
  boolean isEmpty() {
    return candidateCount == 0;
  }

  /**
   * Returns, for each urgency and customer, the request that has waited longest; the VM's id and
   * the position in its report decide between requests that have waited equally long.
   *
   * @param eligible selects the VMs that may get a slot
   * @return the candidates by VM id and position in its report
   */
  List<EntryVmSlotState.Candidate> longestWaiting(Predicate<EntryVmSlotState> eligible) {
    List<Group> first = new ArrayList<>(queues.size());
    for (ClassQueue queue : queues.values()) {
      for (Group group : queue.groups) {
        if (eligible.test(group.candidate().vm())) {
          first.add(group);
          break;
        }
      }
    }
    first.sort(REPORTED_ORDER);
    return first.stream().map(Group::candidate).toList();
  }

  /** Returns the number of waiting requests, whether covered by a grant or not. */
  Map<WaitingClass, Integer> sizes() {
    Map<WaitingClass, Integer> sizes = new HashMap<>();
    queues.forEach((waitingClass, queue) -> sizes.put(waitingClass, queue.requests));
    return sizes;
  }
}
