package org.teaseltrail.core.message;

/** Says what a ticket asks an upstream for. */
public enum RequestKind {
  /** A generation by a model engine. */
  GENERATION,
  /** A call to a plain service. */
  SERVICE_CALL
}
