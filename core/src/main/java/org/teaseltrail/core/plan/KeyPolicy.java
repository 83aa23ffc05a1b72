package org.teaseltrail.core.plan;

/** Whether a plan asks callers for API keys, on the routes that need one. */
public enum KeyPolicy {
  /** Keys are asked for, also if no customer holds one: then nobody has access. */
  REQUIRED,
  /** The plan names no customers at all, and no route asks for a key. */
  NONE
}
