package org.teaseltrail.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.ServingMessage;

/**
 * Two-level priority queue of the events for a control member's event loop. Messages from entry VMs
 * that schedule requests themselves (serving VMs) have the lower priority, and of the kinds that
 * replace each other only the newest message is kept per VM. Thread-safe.
 *
 * <p>Keeps entry VMs from overloading the leader. Under load, sixty of them send more messages than
 * one thread can process; in a FIFO queue the events behind them, including the replies of other
 * members, waited 0.4 s, so that the lease expired repeatedly and operators' orders were not
 * answered in time. With this queue, replication, timers and operators wait for at most one message
 * of an entry VM, and a new message replaces the queued one of the same kind, so that few messages
 * per VM are queued.
 */
final class EventQueue {

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition notEmpty = lock.newCondition();
  private final Deque<ControlEvent> prioritized = new ArrayDeque<>();
  private final Map<VmId, List<ControlEvent>> servingVmEvents = new LinkedHashMap<>();

  /** Adds an event; most messages from a serving VM replace the queued one of their kind. */
  void add(ControlEvent event) {
    lock.lock();
    try {
      if (event instanceof ControlEvent.FromServingVm from) {
        addServingVmEvent(from);
      } else {
        prioritized.addLast(event);
      }
      notEmpty.signal();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Removes and returns the next event, waiting for one if the queue is empty.
   *
   * @param waitNs maximum time to wait, in nanoseconds
   * @return the event, or null if the time elapsed without one
   * @throws InterruptedException if the thread is interrupted while waiting
   */
  ControlEvent poll(long waitNs) throws InterruptedException {
    long remainingNs = waitNs;
    lock.lockInterruptibly();
    try {
      while (prioritized.isEmpty() && servingVmEvents.isEmpty() && remainingNs > 0) {
        remainingNs = notEmpty.awaitNanos(remainingNs);
      }
      return prioritized.isEmpty() ? pollServingVmEvent() : prioritized.pollFirst();
    } finally {
      lock.unlock();
    }
  }

  /** Returns the number of queued events. */
  int size() {
    lock.lock();
    try {
      return prioritized.size() + servingVmEvents.values().stream().mapToInt(List::size).sum();
    } finally {
      lock.unlock();
    }
  }

  /** Keeps the VM's position in the queue, so that a VM that sends often is not starved. */
  private void addServingVmEvent(ControlEvent.FromServingVm from) {
    ServingMessage message = from.message();
    List<ControlEvent> vmEvents =
        servingVmEvents.computeIfAbsent(message.vm(), vm -> new ArrayList<>());
    if (message.replacesEarlier()) {
      vmEvents.removeIf(
          queued ->
              ((ControlEvent.FromServingVm) queued).message().getClass() == message.getClass());
    }
    vmEvents.add(from);
  }

  private ControlEvent pollServingVmEvent() {
    if (servingVmEvents.isEmpty()) {
      return null;
    }
    Map.Entry<VmId, List<ControlEvent>> next = servingVmEvents.entrySet().iterator().next();
    ControlEvent event = next.getValue().remove(0);
    if (next.getValue().isEmpty()) {
      servingVmEvents.remove(next.getKey());
    }
    return event;
  }
}
