package org.teaseltrail.core.forward;

/** What an entry VM still does during a planned stop; the phases follow in this order. */
enum DrainPhase {
  /** It takes requests, but load balancers are told to send no more. */
  FINISHING,
  /** It refuses new requests. */
  REFUSING,
  /** It also gives up requests that are at no upstream and no peer. */
  NOT_SENDING,
  /** It gives up all requests. */
  GIVING_UP
}
