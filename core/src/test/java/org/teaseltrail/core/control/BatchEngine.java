package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.registry.Registration;

/**
 * Is one life of an engine that runs as many requests at once as it has places and lets others
 * queue. Whatever ends it ends all that it holds.
 */
final class BatchEngine {

  static final int PLACES = 4;

  private final int site;
  private final Registration registration;
  private final List<Long> running = new ArrayList<>();
  private final List<Long> queued = new ArrayList<>();

  BatchEngine(int site, int life, ServiceId service) {
    this.site = site;
    registration = ForwardSamples.upstream("e" + site + "-" + life, service, PLACES);
  }

  /** Returns which engine this is, whatever its life. */
  int site() {
    return site;
  }

  Registration registration() {
    return registration;
  }

  UpstreamId id() {
    return registration.id();
  }

  /** Takes a request; it begins to run once there is a place. */
  void take(long request) {
    queued.add(request);
  }

  /** Forgets a request that is over or was broken off. */
  void forget(long request) {
    running.remove(request);
    queued.remove(request);
  }

  /** Moves requests from the queue into free places; returns those that begin to run now. */
  List<Long> begin() {
    int free = Math.max(0, PLACES - running.size());
    List<Long> begun = List.copyOf(queued.subList(0, Math.min(free, queued.size())));
    queued.removeAll(begun);
    running.addAll(begun);
    return begun;
  }

  /** Ends it; returns all that it held. */
  List<Long> end() {
    List<Long> held = new ArrayList<>(running);
    held.addAll(queued);
    running.clear();
    queued.clear();
    return held;
  }
}
