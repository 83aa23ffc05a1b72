package org.teaseltrail.core.upstream;

/** Says what part of the work an upstream takes. */
public enum UpstreamRole {
  /** Processes prompts and generates. */
  GENERATE,
  /** Answers plain calls. */
  SERVICE
}
