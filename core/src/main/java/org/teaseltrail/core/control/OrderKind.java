package org.teaseltrail.core.control;

/** Says what an engine is ordered to do. */
public enum OrderKind {
  /** Load a model with its version. */
  LOAD_MODEL("load_model"),
  /** Unload a model. */
  UNLOAD_MODEL("unload_model"),
  /** Load an adapter beside a model that is loaded. */
  LOAD_ADAPTER("load_adapter"),
  /** Take another role. */
  CHANGE_ROLE("change_role");

  private final String wireName;

  OrderKind(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name in the engines' protocol. */
  public String wireName() {
    return wireName;
  }
}
