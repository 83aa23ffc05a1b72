package org.teaseltrail.load.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Reads and writes the JSON of the callers' protocol (docs/INTERNALS.md). */
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
      throw new MalformedAnswerException("a request can't be written", e);
    }
  }

  static <T> T read(String json, Class<T> type) {
    try {
      return MAPPER.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw new MalformedAnswerException("not the JSON of " + type.getSimpleName(), e);
    }
  }

  /**
   * Is a caller's request for a generation.
   *
   * @param model the model
   * @param version its version
   * @param prompt the prompt
   * @param maxTokens bound on the answer
   * @param idempotent whether it may run twice
   * @param deadlineMs the caller's deadline, or null
   * @param stream whether to answer as it is generated
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
   * Is a part of an answer.
   *
   * @param seq its number, from zero without gaps
   * @param text its text
   */
  record TokenData(long seq, String text) {}

  /**
   * Is the event that closes an answer.
   *
   * @param requestId the request
   * @param outcome how it ended
   * @param type the problem, if there was one
   * @param usage the work done, if known
   */
  record OutcomeData(String requestId, String outcome, String type, UsageData usage) {}

  /**
   * Is the work done for a request.
   *
   * @param promptTokens prompt tokens
   * @param cachedTokens of them, tokens that a cache saved
   * @param outputTokens tokens generated
   */
  record UsageData(int promptTokens, int cachedTokens, int outputTokens) {}

  /**
   * Is a refusal.
   *
   * @param type what kind
   * @param ran whether the request ran: {@code no} or {@code maybe}
   * @param requestId the request, if it got an id
   * @param retryAfterMs when the caller may come back, or null
   */
  record ProblemData(String type, String ran, String requestId, Long retryAfterMs) {}
}
