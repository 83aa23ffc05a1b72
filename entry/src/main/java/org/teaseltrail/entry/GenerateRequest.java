package org.teaseltrail.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.RequestId;

/**
 * The validated body of {@code POST /v1/generate}.
 *
 * @param model the model
 * @param version the requested version, if any
 * @param adapter the adapter, if any
 * @param prompt the prompt
 * @param maxTokens maximum number of tokens to generate
 * @param idempotent whether the request may run more than once
 * @param deadlineMs time until the caller's deadline; zero if it has none
 * @param stream whether the response is streamed
 */
record GenerateRequest(
    ModelId model,
    Optional<ModelVersion> version,
    Optional<AdapterId> adapter,
    String prompt,
    int maxTokens,
    boolean idempotent,
    long deadlineMs,
    boolean stream) {

  private static final long MAX_DEADLINE_MS = 24L * 60 * 60 * 1_000;
  private static final Set<String> FIELDS =
      Set.of(
          "model",
          "version",
          "adapter",
          "prompt",
          "max_tokens",
          "idempotent",
          "deadline_ms",
          "stream");

  /**
   * Parses and validates the body.
   *
   * @throws RefusedRequestException if the body or a field is invalid
   */
  static GenerateRequest parse(byte[] body, CallerLimits limits) {
    JsonObjectReader fields = new JsonObjectReader(parseObject(body)).requireKnownFields(FIELDS);
    String prompt = fields.text("prompt");
    if (prompt.getBytes(StandardCharsets.UTF_8).length > limits.maxPromptBytes()) {
      throw new RefusedRequestException(
          ProblemKind.PROMPT_TOO_LARGE,
          "the prompt is longer than " + limits.maxPromptBytes() + " bytes");
    }
    return new GenerateRequest(
        fields.id("model", ModelId::new),
        fields.optionalId("version", ModelVersion::new),
        fields.optionalId("adapter", AdapterId::new),
        prompt,
        (int) fields.number("max_tokens", 1, limits.maxTokens()),
        fields.flag("idempotent", true),
        fields.optionalNumber("deadline_ms", 1, MAX_DEADLINE_MS).orElse(0L),
        fields.flag("stream", true));
  }

  private static ObjectNode parseObject(byte[] body) {
    try {
      return JsonCodec.readObject(body);
    } catch (IOException e) {
      throw new RefusedRequestException(
          ProblemKind.MALFORMED_REQUEST, "the body is not one JSON object");
    }
  }

  /**
   * Returns the digest that identifies equal requests; the deadline and the form of the response
   * (streamed or not) aren't part of it.
   */
  String digest() {
    String head =
        String.join(
            "\n",
            model.value(),
            version.map(ModelVersion::value).orElse(""),
            adapter.map(AdapterId::value).orElse(""),
            Integer.toString(maxTokens),
            Boolean.toString(idempotent));
    return Sha256Hex.ofParts(head, prompt.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the body of the request to the engine. */
  byte[] toEngineBody(RequestId request, ModelTarget asked) {
    ObjectNode json = JsonCodec.createObject();
    json.put("request_id", request.value());
    json.put("model", asked.model().value());
    json.put("version", asked.version().value());
    asked.adapter().ifPresent(id -> json.put("adapter", id.value()));
    json.put("prompt", prompt);
    json.put("max_tokens", maxTokens);
    return JsonCodec.bytes(json);
  }
}
