package org.teaseltrail.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Parses and serializes JSON. */
final class JsonCodec {

  /** Maximum nesting depth when parsing; the protocols need three. */
  private static final int MAX_DEPTH = 32;

  private static final ObjectMapper MAPPER = mapper();

  private JsonCodec() {}

  private static ObjectMapper mapper() {
    JsonMapper mapper =
        JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    mapper
        .getFactory()
        .setStreamReadConstraints(
            StreamReadConstraints.builder()
                .maxNestingDepth(MAX_DEPTH)
                .maxStringLength(Integer.MAX_VALUE)
                .build());
    return mapper;
  }

  static ObjectNode createObject() {
    return MAPPER.createObjectNode();
  }

  /**
   * Reads a JSON object.
   *
   * @throws IOException if the bytes are no JSON object
   */
  static ObjectNode readObject(byte[] bytes) throws IOException {
    JsonNode node = MAPPER.readTree(bytes);
    if (node instanceof ObjectNode object) {
      return object;
    }
    throw new IOException("not a JSON object");
  }

  /**
   * Reads a JSON object.
   *
   * @throws IOException if the text is no JSON object
   */
  static ObjectNode readObject(String text) throws IOException {
    JsonNode node = MAPPER.readTree(text);
    if (node instanceof ObjectNode object) {
      return object;
    }
    throw new IOException("not a JSON object");
  }

  static byte[] bytes(ObjectNode object) {
    try {
      return MAPPER.writeValueAsBytes(object);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("serialization of a plain JSON tree failed", e);
    }
  }
}
