package org.teaseltrail.standin.model;

/** Reasons for which an engine refuses a request; the refused submission was not executed. */
public enum EngineRefusal {
  /** The engine is leaving. */
  LEAVING,
  /** The model, version or adapter isn't loaded. */
  MODEL_NOT_LOADED,
  /** The queue has reached its limit. */
  QUEUE_FULL,
  /** The request id is known from an earlier submission that runs or has run. */
  DUPLICATE_REQUEST
}
