package org.teaseltrail.core.relay;

/** What a probe of the path to an upstream has found. */
public enum ProbeResult {
  /** No connection was established. */
  FAILED,
  /** A connection was established; no answer was asked for, or none came in time. */
  CONNECTED,
  /** The upstream answered. */
  ANSWERED
}
