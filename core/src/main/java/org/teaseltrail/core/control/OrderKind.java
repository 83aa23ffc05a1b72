package org.teaseltrail.core.control;

/** Kind of operation that an engine is ordered to perform. */
public enum OrderKind {
  /** Load a model with its version. */
  LOAD_MODEL("load_model"),
  /** Unload a model. */
  UNLOAD_MODEL("unload_model"),
  /** Load an adapter beside a model that is loaded. */
  LOAD_ADAPTER("load_adapter"),
  /** Change to another role. */
  CHANGE_ROLE("change_role");

  private final String wireName;

  OrderKind(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in the protocol with engines. */
  public String wireName() {
    return wireName;
  }
}
