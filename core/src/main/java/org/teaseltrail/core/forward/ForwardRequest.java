package org.teaseltrail.core.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.PartFeature;
import org.teaseltrail.core.quarantine.RequestContent;

/**
 * The properties of a request that forwarding decisions depend on. The body stays with the
 * connection.
 *
 * @param number identifies the request within this process
 * @param id the caller's id of this attempt
 * @param host the host that the request names
 * @param path its path without the query
 * @param key the customer's key, if it carries one
 * @param deadlineMs how long the caller waits for the response, in milliseconds
 * @param promptTokens length of its prompt, in tokens
 * @param maxOutputTokens maximum length of the response, in tokens
 * @param prompt the parts of its prompt, used for prefix affinity
 * @param content its content, from which the fingerprint is computed
 * @param resumption where it resumes a stream that an earlier attempt of the caller has begun
 */
public record ForwardRequest(
    long number,
    String id,
    String host,
    String path,
    Optional<String> key,
    OptionalLong deadlineMs,
    OptionalInt promptTokens,
    OptionalInt maxOutputTokens,
    List<PromptPart> prompt,
    RequestContent content,
    Optional<StreamResumption> resumption) {

  /** Copies the list. */
  public ForwardRequest {
    prompt = List.copyOf(prompt);
  }

  /**
   * Creates a request that resumes no stream.
   *
   * @param number identifies the request within this process
   * @param id the caller's id of this attempt
   * @param host the host that the request names
   * @param path its path without the query
   * @param key the customer's key, if it carries one
   * @param deadlineMs how long the caller waits for the response, in milliseconds
   * @param promptTokens length of its prompt, in tokens
   * @param maxOutputTokens maximum length of the response, in tokens
   * @param prompt the parts of its prompt, used for prefix affinity
   * @param content its content, from which the fingerprint is computed
   */
  public ForwardRequest(
      long number,
      String id,
      String host,
      String path,
      Optional<String> key,
      OptionalLong deadlineMs,
      OptionalInt promptTokens,
      OptionalInt maxOutputTokens,
      List<PromptPart> prompt,
      RequestContent content) {
    this(
        number,
        id,
        host,
        path,
        key,
        deadlineMs,
        promptTokens,
        maxOutputTokens,
        prompt,
        content,
        Optional.empty());
  }

  /**
   * Returns a hash that is cheap to compute and differs for nearly all requests other than a few
   * known ones. The fingerprint is computed only where this hash matches.
   *
   * @param customer the customer that sent it, if known
   * @return the scope of its fingerprint
   */
  public int scope(Optional<CustomerId> customer) {
    return Fingerprint.scope(customer, host, path);
  }

  /**
   * Computes the request's fingerprint from its whole content.
   *
   * @param customer the customer that sent it, if known
   * @return the fingerprint
   */
  public Fingerprint fingerprint(Optional<CustomerId> customer) {
    return Fingerprint.of(scope(customer), customer, host, content);
  }

  /**
   * Returns the parts of its prompt other than the last, by which the quarantine finds out what
   * different requests have in common.
   *
   * @param customer the customer that sent it, if known
   * @return the parts, each once
   */
  public List<PartFeature> partFeatures(Optional<CustomerId> customer) {
    return prompt.stream()
        .limit(Math.max(0, prompt.size() - 1))
        .map(PromptPart::id)
        .distinct()
        .map(id -> new PartFeature(customer, id))
        .toList();
  }

  /**
   * Returns when the final answer is due: at the route's timeout or the caller's deadline,
   * whichever is earlier.
   *
   * @param route the request's route
   * @param arrivedNs when the request arrived
   * @return the time, in nanoseconds
   */
  long dueNs(PlanRoute route, long arrivedNs) {
    long maxMs = Math.min(route.timeoutMs(), deadlineMs.orElse(Long.MAX_VALUE));
    return arrivedNs + TimeUnit.MILLISECONDS.toNanos(maxMs);
  }

  /**
   * Returns the number of tokens that the request consumes of a quota that is counted in tokens.
   *
   * @param plainTokens tokens charged for a request without a token count
   * @return the tokens
   */
  public int quotaTokens(int plainTokens) {
    if (promptTokens.isEmpty()) {
      return plainTokens;
    }
    return promptTokens.getAsInt() + maxOutputTokens.orElse(0);
  }
}
