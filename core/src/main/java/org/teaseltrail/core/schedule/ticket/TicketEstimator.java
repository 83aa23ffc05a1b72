package org.teaseltrail.core.schedule.ticket;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.core.message.Ticket;

/**
 * Estimates the engine time, the service time and the useful deadline of tickets, from the speed of
 * the pool and from earlier answers.
 */
public final class TicketEstimator {

  /**
   * Base of the time for which an answer without a deadline is useful, about as long as a person
   * waits for a short answer. A multiple of the service time is added to it.
   */
  private static final double USEFUL_BASE_MS = 2_000;

  /** Multiple of the service time that a caller without a deadline is assumed to wait. */
  private static final double USEFUL_SERVICE_TIMES = 3;

  /**
   * Maximum time that a caller without a deadline is assumed to wait, so that other requests can't
   * overtake it for long.
   */
  private static final double USEFUL_MAX_MS = 20_000;

  /**
   * Fraction of the estimated decoding time that an answer takes in the best case: with the prompt
   * cached, a fast engine and a short answer. A ticket is infeasible only if it can't meet its
   * deadline even in the best case.
   */
  private static final double BEST_CASE_RATIO = 0.5;

  /** Weight of the newest answer in the moving averages of output lengths and service calls. */
  private static final double GAIN = 0.05;

  private static final double INITIAL_SERVICE_CALL_MS = 20;

  /** Number of calls that a plain service is assumed to run at once, for the engine time share. */
  private static final double SERVICE_CONCURRENCY = 8;

  private static final double US_PER_MS = 1_000;
  private static final double NS_PER_MS = 1e6;

  private final Map<CustomerId, Double> outputRatios = new HashMap<>();
  private EngineSpeed speed = EngineSpeed.ASSUMED;
  private double serviceCallMs = INITIAL_SERVICE_CALL_MS;

  /** Sets the measured speed of the pool; existing estimates don't change. */
  public void setSpeed(EngineSpeed speed) {
    this.speed = speed;
  }

  /**
   * Updates the averages from a completed answer.
   *
   * @param ticket the ticket of the request
   * @param outputTokens the length of the answer
   * @param serviceTimeMs service time from dispatch to end, in milliseconds
   */
  public void observe(Ticket ticket, int outputTokens, double serviceTimeMs) {
    if (ticket.kind() == RequestKind.SERVICE_CALL) {
      serviceCallMs += GAIN * (serviceTimeMs - serviceCallMs);
      return;
    }
    double ratio = outputTokens / (double) Math.max(1, ticket.expectedOutputTokens());
    outputRatios.merge(ticket.customer(), ratio, (old, now) -> old + GAIN * (now - old));
  }

  /**
   * Estimates a ticket.
   *
   * @param ticket the ticket
   * @param nowNs monotonic time in nanoseconds
   * @return its estimate
   */
  public TicketEstimate estimate(Ticket ticket, long nowNs) {
    if (ticket.kind() == RequestKind.SERVICE_CALL) {
      double engineUs = serviceCallMs * US_PER_MS / SERVICE_CONCURRENCY;
      return toEstimate(ticket, nowNs, engineUs, 1, serviceCallMs, 0);
    }
    double output = ticket.expectedOutputTokens() * outputRatio(ticket.customer());
    double prefillUs = ticket.promptTokens() * speed.prefillUs();
    double decodeMs = output * speed.stepMs();
    double engineUs = prefillUs + output * speed.decodeUs();
    return toEstimate(
        ticket,
        nowNs,
        engineUs,
        output,
        prefillUs / US_PER_MS + decodeMs,
        decodeMs * BEST_CASE_RATIO);
  }

  private double outputRatio(CustomerId customer) {
    return Math.min(1, outputRatios.getOrDefault(customer, 1.0));
  }

  private static TicketEstimate toEstimate(
      Ticket ticket,
      long nowNs,
      double engineUs,
      double output,
      double serviceTimeMs,
      double bestCaseMs) {
    long deadlineMs = ticket.deadlineMs();
    double softDeadlineMs =
        Math.min(USEFUL_MAX_MS, USEFUL_BASE_MS + USEFUL_SERVICE_TIMES * serviceTimeMs);
    double usefulMs = deadlineMs > 0 ? deadlineMs : softDeadlineMs - ticket.waitedMs();
    long usefulNs = nowNs + (long) (usefulMs * NS_PER_MS);
    long latestStartNs =
        deadlineMs > 0 ? usefulNs - (long) (bestCaseMs * NS_PER_MS) : TrackedTicket.NO_DEADLINE;
    return new TicketEstimate(engineUs, output, serviceTimeMs, usefulNs, latestStartNs);
  }
}
