package org.teaseltrail.core.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.RequestContent;

/**
 * Is what decides about a request that is to be forwarded. Its body stays with the connection.
 *
 * @param number names it within this process
 * @param id the caller's id for this attempt
 * @param host the host it names
 * @param path its path without the query
 * @param key the customer's key, if it carries one
 * @param deadlineMs how long the caller waits, in milliseconds
 * @param promptTokens length of its prompt, in tokens
 * @param maxOutputTokens most tokens of its answer
 * @param prompt the parts of its prompt
 * @param content what it asks for
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
    RequestContent content) {

  /** Copies the list. */
  public ForwardRequest {
    prompt = List.copyOf(prompt);
  }

  /**
   * Returns the hash that tells nearly all requests apart from a few known ones.
   *
   * @param customer whose it is, if that is known
   * @return the scope of its fingerprint
   */
  public int scope(Optional<CustomerId> customer) {
    return Fingerprint.scope(customer, host, path);
  }

  /**
   * Makes its fingerprint, from the whole content.
   *
   * @param customer whose it is, if that is known
   * @return the fingerprint
   */
  public Fingerprint fingerprint(Optional<CustomerId> customer) {
    return Fingerprint.of(scope(customer), customer, host, content);
  }

  /**
   * Returns what it counts for in a quota of tokens.
   *
   * @param plainTokens what a request without a token count stands for
   * @return tokens
   */
  public int quotaTokens(int plainTokens) {
    if (promptTokens.isEmpty()) {
      return plainTokens;
    }
    return promptTokens.getAsInt() + maxOutputTokens.orElse(0);
  }
}
