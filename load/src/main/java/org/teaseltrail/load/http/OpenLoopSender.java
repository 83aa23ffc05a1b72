package org.teaseltrail.load.http;

import java.time.Duration;
import java.util.List;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.load.workload.PlannedRequest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Sends planned requests at their planned times without waiting for the responses to earlier ones
 * (open-loop load).
 */
final class OpenLoopSender {

  private final EntryClient client;
  private final List<PlannedRequest> plan;

  OpenLoopSender(EntryClient client, List<PlannedRequest> plan) {
    this.client = client;
    this.plan = List.copyOf(plan);
  }

  /** Sends all requests and returns a result for each of them. */
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
