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
 * Is what waits for a control member's one thread. What entry VMs that place requests themselves
 * tell comes after all else, and of each VM only the newest is kept. Thread-safe.
 *
 * <p>Guards against a leader that is held up by its entry VMs: under load sixty of them tell more
 * than one thread takes in, and whatever came behind waited 0.4 s, the members' answers too, so
 * that the lease ran out over and over and operators' orders had no answer in time. It holds
 * because replication, timers and operators never wait for more than one message of a VM, and
 * because what a VM tells replaces what it told before, so that no more than two messages of each
 * VM can wait.
 */
final class EventQueue {

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition filled = lock.newCondition();
  private final Deque<ControlEvent> first = new ArrayDeque<>();
  private final Map<VmId, List<ControlEvent>> told = new LinkedHashMap<>();

  /** Adds an event. */
  void add(ControlEvent event) {
    lock.lock();
    try {
      if (event instanceof ControlEvent.FromServingVm from) {
        tell(from);
      } else {
        first.addLast(event);
      }
      filled.signal();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Takes the next event out.
   *
   * @param waitNs time to wait for one, in nanoseconds
   * @return the event, or null if none came
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  ControlEvent poll(long waitNs) throws InterruptedException {
    long leftNs = waitNs;
    lock.lockInterruptibly();
    try {
      while (first.isEmpty() && told.isEmpty() && leftNs > 0) {
        leftNs = filled.awaitNanos(leftNs);
      }
      return first.isEmpty() ? nextTold() : first.pollFirst();
    } finally {
      lock.unlock();
    }
  }

  /** Returns how many events wait. */
  int size() {
    lock.lock();
    try {
      return first.size() + told.values().stream().mapToInt(List::size).sum();
    } finally {
      lock.unlock();
    }
  }

  /** Keeps a VM's place in the order, so that one that tells often isn't passed over for ever. */
  private void tell(ControlEvent.FromServingVm from) {
    ServingMessage message = from.message();
    List<ControlEvent> ofVm = told.computeIfAbsent(message.vm(), vm -> new ArrayList<>());
    ofVm.removeIf(
        older -> ((ControlEvent.FromServingVm) older).message().getClass() == message.getClass());
    ofVm.add(from);
  }

  private ControlEvent nextTold() {
    if (told.isEmpty()) {
      return null;
    }
    Map.Entry<VmId, List<ControlEvent>> next = told.entrySet().iterator().next();
    ControlEvent event = next.getValue().remove(0);
    if (next.getValue().isEmpty()) {
      told.remove(next.getKey());
    }
    return event;
  }
}
