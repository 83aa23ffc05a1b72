package org.teaseltrail.core.schedule.ticket;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.core.message.Ticket;

/** Estimates the engine time and the useful deadline of tickets, from the speed of the pool. */
public final class TicketEstimator {

  /**
   * Time after which an answer without a deadline loses its use, on top of a multiple of its span:
   * about as long as a person waits for a short answer.
   */
  private static final double USEFUL_BASE_MS = 2_000;

  /** Multiple of its own span that a caller without a deadline is taken to wait. */
  private static final double USEFUL_SERVICE_TIMES = 3;

  /**
   * Bound on what a caller without a deadline is taken to wait, so that it is not overtaken long.
   */
  private static final double USEFUL_MAX_MS = 20_000;

  /**
   * Part of the expected span in which a lucky answer may be done: no prompt to process, a fast
   * engine, a short answer. Only what can't be met even so counts as hopeless.
   */
  private static final double BEST_CASE_RATIO = 0.5;

  /** Weight of the newest answer in what is learned of lengths and of service calls. */
  private static final double GAIN = 0.05;

  private static final double INITIAL_SERVICE_CALL_MS = 20;

  /** Calls that a plain service runs at once, for its share of time. */
  private static final double SERVICE_CONCURRENCY = 8;

  private static final double US_PER_MS = 1_000;
  private static final double NS_PER_MS = 1e6;

  private final Map<CustomerId, Double> outputRatios = new HashMap<>();
  private EngineSpeed speed = EngineSpeed.ASSUMED;
  private double serviceCallMs = INITIAL_SERVICE_CALL_MS;

  /** Takes a newly measured speed; tickets already estimated keep theirs. */
  public void setSpeed(EngineSpeed speed) {
    this.speed = speed;
  }

  /**
   * Learns from a whole answer.
   *
   * @param ticket its ticket
   * @param outputTokens its length
   * @param spanMs time from dispatch to end, in milliseconds
   */
  public void observe(Ticket ticket, int outputTokens, double spanMs) {
    if (ticket.kind() == RequestKind.SERVICE_CALL) {
      serviceCallMs += GAIN * (spanMs - serviceCallMs);
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
      Ticket ticket, long nowNs, double engineUs, double output, double spanMs, double bestMs) {
    long deadlineMs = ticket.deadlineMs();
    double patienceMs = Math.min(USEFUL_MAX_MS, USEFUL_BASE_MS + USEFUL_SERVICE_TIMES * spanMs);
    double usefulMs = deadlineMs > 0 ? deadlineMs : patienceMs - ticket.waitedMs();
    long usefulNs = nowNs + (long) (usefulMs * NS_PER_MS);
    long latestStartNs =
        deadlineMs > 0 ? usefulNs - (long) (bestMs * NS_PER_MS) : TrackedTicket.NO_DEADLINE;
    return new TicketEstimate(engineUs, output, spanMs, usefulNs, latestStartNs);
  }
}
