package org.teaseltrail.load.http;

import java.time.Duration;
import java.util.List;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.load.workload.PlannedRequest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Sends planned requests at their planned times, whatever becomes of those before: the load is
 * open-loop.
 */
final class HttpRun {

  private final EntryClient client;
  private final List<PlannedRequest> plan;

  HttpRun(EntryClient client, List<PlannedRequest> plan) {
    this.client = client;
    this.plan = List.copyOf(plan);
  }

  /** Runs to the end and returns a result for each request. */
  List<CallResult> run() {
    long startNs = System.nanoTime();
    return Flux.fromIterable(plan)
        .flatMap(planned -> send(planned, startNs), plan.size() + 1, 1)
        .collectList()
        .block();
  }

  private Mono<CallResult> send(PlannedRequest planned, long startNs) {
    long intendedNs = startNs + planned.atNs();
    Mono<CallResult> call =
        Mono.defer(
            () ->
                planned.kind().target() == RequestKind.SERVICE_CALL
                    ? client.callService(planned, intendedNs)
                    : client.generate(planned, intendedNs));
    long waitNs = Math.max(0, intendedNs - System.nanoTime());
    return Mono.delay(Duration.ofNanos(waitNs)).then(call);
  }
}
