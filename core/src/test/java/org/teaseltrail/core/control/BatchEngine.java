package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.Registration;

/**
 * One incarnation of a simulated engine that runs as many requests concurrently as it has slots and
 * queues the others. When it crashes, all its requests are lost.
 */
final class BatchEngine {

  static final int SLOTS = 4;

  private final int engineIndex;
  private final Registration registration;
  private final List<Long> running = new ArrayList<>();
  private final List<Long> queued = new ArrayList<>();

  BatchEngine(int engineIndex, int incarnation, ServiceId service) {
    this.engineIndex = engineIndex;
    registration = ForwardSamples.upstream("e" + engineIndex + "-" + incarnation, service, SLOTS);
  }

  /** Returns the number of the engine, which is the same for all its incarnations. */
  int engineIndex() {
    return engineIndex;
  }

  Registration registration() {
    return registration;
  }

  UpstreamId id() {
    return registration.id();
  }

  /** Accepts a request, which starts as soon as a slot is free. */
  void enqueue(long request) {
    queued.add(request);
  }

  /** Removes a request that has ended or was aborted. */
  void removeRequest(long request) {
    running.remove(request);
    queued.remove(request);
  }

  /** Moves requests from the queue into free slots; returns those that start now. */
  List<Long> startQueued() {
    int free = Math.max(0, SLOTS - running.size());
    List<Long> started = List.copyOf(queued.subList(0, Math.min(free, queued.size())));
    queued.removeAll(started);
    running.addAll(started);
    return started;
  }

  /** Stops the engine; returns the requests that it was running or had queued. */
  List<Long> end() {
    List<Long> held = new ArrayList<>(running);
    held.addAll(queued);
    running.clear();
    queued.clear();
    return held;
  }
}
