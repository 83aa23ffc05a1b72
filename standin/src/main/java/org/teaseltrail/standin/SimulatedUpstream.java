package org.teaseltrail.standin;

import java.util.concurrent.CompletableFuture;
import reactor.netty.http.server.HttpServerRoutes;

/** Simulated upstream: the part of the daemon that differs between an engine and a service. */
interface SimulatedUpstream extends AutoCloseable {

  /** Starts the model and its announcements. */
  void start(Announcer announcer);

  /** Adds the upstream's HTTP routes; the admin routes are added before and take precedence. */
  void addRoutes(HttpServerRoutes routes);

  /** Sets the multiplier of all processing times. */
  void setStragglerFactor(double factor);

  /** Announces phase LEAVING; completes when the grace time is over and no request is in flight. */
  CompletableFuture<Void> startDraining(long graceMs);

  /** Returns the model's counters, to be serialized as JSON. */
  CompletableFuture<Object> counters();

  /** Fails if the model throws; never completes otherwise. */
  CompletableFuture<Void> failed();

  @Override
  void close();
}
