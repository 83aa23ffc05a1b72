package org.teaseltrail.core.schedule.ticket;

/**
 * Is how fast an ordinary engine of the pool works.
 *
 * @param prefillUs engine time to process one prompt token, in microseconds
 * @param decodeUs share of engine time to generate one token in a full batch, in microseconds
 * @param stepMs time between two tokens of one request, in milliseconds
 */
public record EngineSpeed(double prefillUs, double decodeUs, double stepMs) {

  /** Is assumed until something is measured; a step of 4 ms is the brief's size of today. */
  public static final EngineSpeed ASSUMED = new EngineSpeed(50, 500, 4);
}
