package org.teaseltrail.core.upstream;

/** Says whether an upstream wants work. */
public enum UpstreamPhase {
  /** Takes new work. */
  SERVING,
  /** Finishes what it has and takes nothing new. */
  LEAVING
}
