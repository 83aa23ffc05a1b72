package org.teaseltrail.standin;

import java.util.concurrent.CompletableFuture;
import reactor.netty.http.server.HttpServerRoutes;

/** Is what differs between the stand-in for an engine and that for a plain service. */
interface StandinBehaviour extends AutoCloseable {

  /** Starts to run, and to announce. */
  void start(Announcer announcer);

  /** Adds the paths that it serves; those of the admin go before. */
  void addRoutes(HttpServerRoutes routes);

  /** Makes its work take longer by a factor. */
  void straggle(double factor);

  /** Announces that it leaves; completes once the grace time is over and nothing is in progress. */
  CompletableFuture<Void> leave(long graceMs);

  /** Returns what it has done, to be written as JSON. */
  CompletableFuture<Object> counters();

  /** Fails if the model has a fault; never completes otherwise. */
  CompletableFuture<Void> failed();

  @Override
  void close();
}
