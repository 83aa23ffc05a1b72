package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.forward.ForwardSamples;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.registry.Registration;

/** Simulated engine of one version with a given speed that runs several requests concurrently. */
final class VersionedEngine {

  static final int SLOTS = 4;

  private final Registration registration;
  private final double latencyFactor;
  private final List<Long> running = new ArrayList<>();
  private final List<Long> queued = new ArrayList<>();

  VersionedEngine(String id, ServiceId service, UpstreamVersion version, double latencyFactor) {
    Registration template = ForwardSamples.upstream(id, service, SLOTS);
    registration =
        new Registration(
            template.id(),
            template.bornMs(),
            template.service(),
            template.address(),
            template.dataCenter(),
            template.slots(),
            template.phase(),
            template.sequence(),
            Optional.of(version),
            0);
    this.latencyFactor = latencyFactor;
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

  /** Returns how many times longer it takes than a typical engine. */
  double latencyFactor() {
    return latencyFactor;
  }

  /** Returns whether almost all its slots are in use. */
  boolean isLoaded() {
    return running.size() >= SLOTS - 1;
  }

  void enqueue(long request) {
    queued.add(request);
  }

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
