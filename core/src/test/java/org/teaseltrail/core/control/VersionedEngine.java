package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.registry.Registration;

/** Is an engine of one version; engines differ in speed, and run some requests at once. */
final class VersionedEngine {

  static final int PLACES = 4;

  private final Registration registration;
  private final double slowness;
  private final List<Long> running = new ArrayList<>();
  private final List<Long> queued = new ArrayList<>();

  VersionedEngine(String id, ServiceId service, UpstreamVersion version, double slowness) {
    Registration plain = ForwardSamples.upstream(id, service, PLACES);
    registration =
        new Registration(
            plain.id(),
            plain.bornMs(),
            plain.service(),
            plain.address(),
            plain.dataCenter(),
            plain.slots(),
            plain.phase(),
            plain.sequence(),
            Optional.of(version),
            0);
    this.slowness = slowness;
  }

  UpstreamId id() {
    return registration.id();
  }

  Registration registration() {
    return registration;
  }

  UpstreamVersion version() {
    return registration.version().orElseThrow();
  }

  /** Returns how many times longer it takes than a middling one. */
  double slowness() {
    return slowness;
  }

  /** Tells whether it runs nearly as many requests as it has places for. */
  boolean isLoaded() {
    return running.size() >= PLACES - 1;
  }

  void take(long request) {
    queued.add(request);
  }

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
