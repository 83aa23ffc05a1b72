package org.teaseltrail.core.upstream;

/** Whether an upstream accepts new requests. */
public enum UpstreamPhase {
  /** It accepts new requests. */
  SERVING,
  /** It finishes its running requests and accepts no new ones. */
  LEAVING
}
