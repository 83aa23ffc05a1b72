package org.teaseltrail.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.StringId;

/** Serializes and parses the JSON of the upstream protocol (docs/INTERNALS.md). */
final class UpstreamJson {

  private static final ObjectMapper MAPPER = mapper();

  private UpstreamJson() {}

  static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException failure) {
      throw new IllegalStateException(
          "can't serialize as JSON: " + value.getClass().getName(), failure);
    }
  }

  /**
   * Parses a value.
   *
   * @throws MalformedBodyException if the text isn't valid JSON of the type
   */
  static <T> T read(Class<T> type, byte[] text) {
    try {
      T value = MAPPER.readValue(text, type);
      if (value == null) {
        throw new MalformedBodyException("null");
      }
      return value;
    } catch (IOException failure) {
      throw new MalformedBodyException(failure);
    }
  }

  private static ObjectMapper mapper() {
    SimpleModule plainIds = new SimpleModule("plain-ids");
    plainIds.addSerializer(StringId.class, new TextSerializer());
    plainIds.addKeySerializer(StringId.class, new KeySerializer());
    plainIds.addSerializer(Incarnation.class, new IncarnationSerializer());
    plainIds.addSerializer(FencingNumber.class, new FencingSerializer());
    return new ObjectMapper()
        .registerModule(new Jdk8Module())
        .registerModule(plainIds)
        .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
        .setDefaultPropertyInclusion(JsonInclude.Include.NON_ABSENT)
        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
  }

  private static final class TextSerializer extends JsonSerializer<StringId> {
    @Override
    public void serialize(StringId id, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      out.writeString(id.value());
    }
  }

  private static final class KeySerializer extends JsonSerializer<StringId> {
    @Override
    public void serialize(StringId id, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      out.writeFieldName(id.value());
    }
  }

  private static final class IncarnationSerializer extends JsonSerializer<Incarnation> {
    @Override
    public void serialize(Incarnation number, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      out.writeNumber(number.value());
    }
  }

  private static final class FencingSerializer extends JsonSerializer<FencingNumber> {
    @Override
    public void serialize(FencingNumber number, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      out.writeNumber(number.value());
    }
  }
}
