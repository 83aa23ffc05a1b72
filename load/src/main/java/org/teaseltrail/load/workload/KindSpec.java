package org.teaseltrail.load.workload;

import java.util.List;
import org.teaseltrail.core.message.RequestKind;

/**
 * Kind of request in a workload.
 *
 * @param name its name in reports
 * @param target type of the request
 * @param workShare its share of the pool's engine time at load 1.0, relative to the other kinds;
 *     for service calls, requests per second at load 1.0
 * @param promptTokens length of the new part of the prompt
 * @param outputTokens length of the response
 * @param customers the customers that send it, all of the same tier
 * @param followUpFraction fraction of the requests that continue an earlier conversation
 * @param usefulDeadlineMs time after the request at which the response is no longer useful
 * @param sendsDeadline whether the caller sends the deadline with the request and disconnects when
 *     it has passed
 * @param idempotent whether the request may run more than once
 */
public record KindSpec(
    String name,
    RequestKind target,
    double workShare,
    LengthSpec promptTokens,
    LengthSpec outputTokens,
    List<CustomerShare> customers,
    double followUpFraction,
    long usefulDeadlineMs,
    boolean sendsDeadline,
    boolean idempotent) {

  /** Creates the kind with a copy of the customers. */
  public KindSpec {
    customers = List.copyOf(customers);
  }
}
