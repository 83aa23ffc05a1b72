package org.teaseltrail.load.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Serializes and parses the JSON messages of the callers' protocol (docs/INTERNALS.md). */
final class CallerJson {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(
                  JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
          .build();

  private CallerJson() {}

  static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new MalformedAnswerException("request can't be serialized as JSON", e);
    }
  }

  static <T> T read(String json, Class<T> type) {
    try {
      return MAPPER.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw new MalformedAnswerException("invalid JSON for " + type.getSimpleName(), e);
    }
  }

  /**
   * Body of a caller's generation request.
   *
   * @param model the model
   * @param version its version
   * @param prompt the prompt
   * @param maxTokens maximum number of tokens to generate
   * @param idempotent whether it may run more than once
   * @param deadlineMs the caller's deadline, or null
   * @param stream whether to stream the response
   */
  record GenerateBody(
      String model,
      String version,
      String prompt,
      int maxTokens,
      boolean idempotent,
      Long deadlineMs,
      boolean stream) {}

  /**
   * Data of a token event.
   *
   * @param seq its sequence number, from zero without gaps
   * @param text its text
   */
  record TokenData(long seq, String text) {}

  /**
   * Data of the closing event of a response.
   *
   * @param requestId the request's id
   * @param outcome how the request ended
   * @param type the problem type, if there was a problem
   * @param usage the tokens used, if known
   */
  record OutcomeData(String requestId, String outcome, String type, UsageData usage) {}

  /**
   * Tokens used by a request.
   *
   * @param promptTokens prompt tokens
   * @param cachedTokens prompt tokens that were found in a cache
   * @param outputTokens generated tokens
   */
  record UsageData(int promptTokens, int cachedTokens, int outputTokens) {}

  /**
   * Problem document of an error response.
   *
   * @param type the problem type
   * @param ran whether the request ran: {@code no} or {@code maybe}
   * @param requestId the request's id, if it was assigned one
   * @param retryAfterMs time after which the caller may retry, or null
   */
  record ProblemData(String type, String ran, String requestId, Long retryAfterMs) {}
}
