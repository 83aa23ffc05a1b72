package org.teaseltrail.core.message;

/** Kind of a request. */
public enum RequestKind {
  /** Generation by a model engine. */
  GENERATION,
  /** Call to a plain service. */
  SERVICE_CALL
}
