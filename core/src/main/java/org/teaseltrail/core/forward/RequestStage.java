package org.teaseltrail.core.forward;

/** Where a request was when it was given up. */
public enum RequestStage {
  /** It waited for a plan that is confirmed to be the newest. */
  WAITING_FOR_PLAN,
  /** It waited to be told which version began the stream that it resumes, or for news of it. */
  WAITING_FOR_ORIGIN,
  /** It waited for allowance of its customer's quota. */
  WAITING_FOR_QUOTA,
  /** It waited for its first slot at an upstream. */
  WAITING_FOR_SLOT,
  /** It waited for a slot after an attempt had failed. */
  WAITING_FOR_RETRY,
  /** It was at an upstream that had not begun to answer. */
  AT_UPSTREAM,
  /** It was at a peer. */
  AT_PEER,
  /** Its caller had got a part of the stream. */
  STREAM_BEGUN
}
