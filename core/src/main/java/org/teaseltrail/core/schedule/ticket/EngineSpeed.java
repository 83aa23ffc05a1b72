package org.teaseltrail.core.schedule.ticket;

/**
 * The speed of a typical engine of a pool.
 *
 * @param prefillUs engine time to process one prompt token, in microseconds
 * @param decodeUs share of engine time to generate one token in a full batch, in microseconds
 * @param stepMs time between two tokens of one request, in milliseconds
 */
public record EngineSpeed(double prefillUs, double decodeUs, double stepMs) {

  /** The speed assumed before any measurement; a step of 4 ms is specified for today's engines. */
  public static final EngineSpeed ASSUMED = new EngineSpeed(50, 500, 4);
}
