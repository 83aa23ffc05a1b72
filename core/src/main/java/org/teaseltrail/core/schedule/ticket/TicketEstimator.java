package org.teaseltrail.core.schedule.ticket;

import org.teaseltrail.core.message.Ticket;

/** Estimates the engine time and the useful deadline of tickets. */
public final class TicketEstimator {

  /**
   * Time after which an answer without a deadline loses its use, on top of a multiple of its span:
   * about as long as a person waits for a short answer.
   */
  private static final double USEFUL_BASE_MS = 2_000;

  /** Multiple of its own span that a caller without a deadline is taken to wait. */
  private static final double USEFUL_SPANS = 3;

  private EngineSpeed speed = EngineSpeed.ASSUMED;

  /** Takes a newly measured speed; tickets already estimated keep theirs. */
  public void setSpeed(EngineSpeed speed) {
    this.speed = speed;
  }

  /**
   * Estimates a ticket.
   *
   * @param ticket the ticket
   * @param nowNs monotonic time in nanoseconds
   * @return its estimate
   */
  public TicketEstimate estimate(Ticket ticket, long nowNs) {
    double prefillUs = ticket.promptTokens() * speed.prefillUs();
    double engineUs = prefillUs + ticket.expectedOutputTokens() * speed.decodeUs();
    double spanMs = prefillUs / 1_000 + ticket.expectedOutputTokens() * speed.stepMs();
    double usefulMs =
        ticket.deadlineMs() > 0
            ? ticket.deadlineMs()
            : USEFUL_BASE_MS + USEFUL_SPANS * spanMs - ticket.waitedMs();
    return new TicketEstimate(engineUs, spanMs, nowNs + (long) (usefulMs * 1_000_000));
  }
}
