package org.teaseltrail.load.workload;

import java.util.List;
import org.teaseltrail.core.message.RequestKind;

/**
 * Is a kind of request.
 *
 * @param name its name in reports
 * @param target what it asks for
 * @param workShare its part of the pool's engine time at load 1.0; for service calls, requests a
 *     second at load 1.0
 * @param promptTokens length of the new part of the prompt
 * @param outputTokens length of the answer
 * @param customers who sends it; all of one tier
 * @param followUpFraction part of the requests that carry on an earlier conversation
 * @param usefulDeadlineMs an answer that ends later than this after the request is of no use
 * @param sendsDeadline whether the caller tells the deadline and hangs up when it has passed
 * @param idempotent whether the request may run twice
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

  /** Copies the list. */
  public KindSpec {
    customers = List.copyOf(customers);
  }
}
