package org.teaseltrail.core.configuration;

/** Validation rule for a single value of the configuration. */
public enum ValueRule {
  /** A tier's name is between 1 and 200 characters long and not blank. */
  TIER_NAME,
  /** A hash is 64 hexadecimal digits in lower case. */
  SHA256_HASH,
  /** A customer's rate is zero (no limit) or a positive finite number of requests per second. */
  RATE,
  /** A customer's burst is at least one request if it has a rate, and finite. */
  BURST,
  /** A customer's weight is between 1 and 1,000. */
  WEIGHT,
  /** A customer has at most 16 API keys. */
  KEY_COUNT,
  /** A pool's limit of queued work is between 1 ms and one day. */
  MAX_WAITING,
  /** A pool's target number of model copies is between 0 and 10,000. */
  TARGET_COPIES,
  /** An HTTP method consists of 1 to 20 upper-case letters. */
  HTTP_METHOD
}
