package org.teaseltrail.core.upstream;

/** Role of an upstream, which determines the kind of requests it can process. */
public enum UpstreamRole {
  /** Model engine that processes prompts and generates output. */
  GENERATE,
  /** Plain service that answers calls. */
  SERVICE
}
