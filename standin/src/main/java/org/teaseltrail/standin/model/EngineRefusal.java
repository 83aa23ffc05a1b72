package org.teaseltrail.standin.model;

/** Says why an engine refused a request. In no case did it run because of this submission. */
public enum EngineRefusal {
  /** The engine is leaving. */
  LEAVING,
  /** The model, version or adapter isn't loaded. */
  MODEL_NOT_LOADED,
  /** Too many requests wait already. */
  QUEUE_FULL,
  /** The request id is known: an earlier submission runs or has run. */
  DUPLICATE_REQUEST
}
