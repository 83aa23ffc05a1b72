package org.teaseltrail.forward;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrail.core.forward.AttemptOutcome;
import org.teaseltrail.core.forward.RefusalReason;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.metrics.Metrics;

/** Metrics of requests and attempts. All labels are enums, which bounds their cardinality. */
final class ForwardMetrics implements AutoCloseable {

  private static final double MIN_RATIO = 0.1;
  private static final double MAX_RATIO = 100;

  private final Metrics metrics = new Metrics("teaseltrail-forward");
  private final Counter delivered;
  private final Timer duration;
  private final Timer firstEvent;
  private final Counter waitForecasts;
  private final Counter bodiesRefused;
  private final Counter internalErrors;
  private final Counter headsRefused;
  private final DistributionSummary firstEventToExpected;
  private final Map<RefusalReason, Counter> refused = new EnumMap<>(RefusalReason.class);
  private final Map<RelayOutcome, Counter> relays = new EnumMap<>(RelayOutcome.class);
  private final Map<AttemptOutcome, Counter> attempts = new EnumMap<>(AttemptOutcome.class);
  private final Map<UnexpectedAnswer.Handling, Counter> unexpectedAnswers =
      new EnumMap<>(UnexpectedAnswer.Handling.class);

  ForwardMetrics(ForwardServer server, EventLog log) {
    MeterRegistry registry = metrics.registry();
    delivered = registry.counter("teaseltrail.requests.delivered");
    waitForecasts = registry.counter("teaseltrail.wait.forecasts");
    duration =
        Timer.builder("teaseltrail.request.duration")
            .publishPercentileHistogram()
            .register(registry);
    firstEvent =
        Timer.builder("teaseltrail.stream.first.event")
            .publishPercentileHistogram()
            .register(registry);
    firstEventToExpected =
        DistributionSummary.builder("teaseltrail.stream.first.event.to.expected")
            .publishPercentileHistogram()
            .minimumExpectedValue(MIN_RATIO)
            .maximumExpectedValue(MAX_RATIO)
            .register(registry);
    for (RefusalReason refusal : RefusalReason.values()) {
      refused.put(
          refusal, registry.counter("teaseltrail.requests.refused", "reason", refusal.name()));
    }
    for (RelayOutcome outcome : RelayOutcome.values()) {
      relays.put(outcome, registry.counter("teaseltrail.relays", "end", outcome.name()));
    }
    for (AttemptOutcome end : AttemptOutcome.values()) {
      attempts.put(end, registry.counter("teaseltrail.attempts", "end", end.name()));
    }
    for (UnexpectedAnswer.Handling handling : UnexpectedAnswer.Handling.values()) {
      unexpectedAnswers.put(
          handling, registry.counter("teaseltrail.answers.unexpected", "end", handling.name()));
    }
    headsRefused = registry.counter("teaseltrail.heads.refused");
    registry.gauge("teaseltrail.heads.bytes", server.headBudget(), HeadBudget::usedBytes);
    bodiesRefused = registry.counter("teaseltrail.bodies.refused");
    internalErrors = registry.counter("teaseltrail.errors.internal");
    registry.gauge("teaseltrail.bodies.bytes", server.bodyBudget(), BodyBudget::usedBytes);
    AnswerRoom.Budgets answers = server.answerBudgets();
    registry.gauge("teaseltrail.answers.bytes", answers.large(), BodyBudget::usedBytes);
    registry.gauge("teaseltrail.answers.small.bytes", answers, AnswerRoom.Budgets::smallUsedBytes);
    registry.gauge("teaseltrail.requests.open", server, ForwardServer::openRequests);
    registry.gauge("teaseltrail.plan.version", server, ForwardServer::planVersion);
    registry.gauge("teaseltrail.session.valid", server, node -> node.isSessionValid() ? 1 : 0);
    registry.gauge("teaseltrail.services.without.path", server, ForwardServer::servicesWithoutPath);
    registry.gauge("teaseltrail.slots.dealt", server, each -> each.dealtSlotUsage().dealt());
    registry.gauge("teaseltrail.slots.used", server, each -> each.dealtSlotUsage().used());
    registry.gauge("teaseltrail.slots.granted", server, each -> each.dealtSlotUsage().byGrant());
    registry.gauge("teaseltrail.log.lines.dropped", log, EventLog::droppedLines);
  }

  void delivered(long elapsedNs) {
    delivered.increment();
    duration.record(elapsedNs, TimeUnit.NANOSECONDS);
  }

  void firstEvent(long elapsedNs) {
    firstEvent.record(elapsedNs, TimeUnit.NANOSECONDS);
  }

  void waitForecast() {
    waitForecasts.increment();
  }

  /** Records the time from a dispatch to the first event relative to the expected time. */
  void firstEventToExpected(double ratio) {
    firstEventToExpected.record(ratio);
  }

  void refused(RefusalReason refusal) {
    refused.get(refusal).increment();
  }

  void attempt(AttemptOutcome end) {
    attempts.get(end).increment();
  }

  void relay(RelayOutcome outcome) {
    relays.get(outcome).increment();
  }

  void unexpectedAnswer(UnexpectedAnswer.Handling handling) {
    unexpectedAnswers.get(handling).increment();
  }

  void internalError() {
    internalErrors.increment();
  }

  void headRefused() {
    headsRefused.increment();
  }

  void bodyRefused() {
    bodiesRefused.increment();
  }

  String scrape() {
    return metrics.scrape();
  }

  @Override
  public void close() {
    metrics.close();
  }
}
