package org.teaseltrail.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonFormat.Shape;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.teaseltrail.core.quota.QuotaGrant;
import org.teaseltrail.core.quota.QuotaReport;
import org.teaseltrail.core.rollout.Observation;

/**
 * Encodes records and sealed interfaces of records as MessagePack and decodes them.
 *
 * <ul>
 *   <li>A record is a map from component name to value; absent optionals are omitted.
 *   <li>A sealed interface is a two-element array: the permitted record's simple name and the
 *       record.
 *   <li>A value type (a record with a single string or integer that implements no sealed interface,
 *       such as an id) is that string or integer, also as a map key.
 *   <li>A byte array is binary.
 * </ul>
 *
 * <p>The format is extensible: unknown components are skipped, a missing number is decoded as zero
 * and a missing optional as empty; any other missing component is an error. Thread-safe.
 */
public final class MessageCodec {

  /**
   * Records that occur dozens of times in each sync. They are encoded as arrays, without component
   * names, so new components may only be added at the end.
   */
  private static final List<Class<?>> ARRAY_ENCODED_TYPES =
      List.of(QuotaReport.class, QuotaGrant.class, Observation.class);

  private final ObjectMapper mapper;
  private final Map<Class<?>, ObjectWriter> writers = new ConcurrentHashMap<>();
  private final Map<Class<?>, ObjectReader> readers = new ConcurrentHashMap<>();
  private final ConfigurationFrameEncoder configurationFrames = new ConfigurationFrameEncoder(this);
  private final ServingFrameEncoder serving = new ServingFrameEncoder(this);

  /** Creates a codec. Warming it up is expensive, so a process should share one instance. */
  public MessageCodec() {
    mapper = new ObjectMapper(new MessagePackFactory());
    mapper.registerModule(new Jdk8Module());
    mapper.registerModule(new ValueTypeModule());
    mapper.setAnnotationIntrospector(new SealedTypeIntrospector());
    ARRAY_ENCODED_TYPES.forEach(
        type -> mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(Shape.ARRAY)));
    mapper.setDefaultPropertyInclusion(JsonInclude.Include.NON_ABSENT);
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
    mapper.enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS);
  }

  /**
   * Encodes a message.
   *
   * @param type the sealed interface or record that the receiver expects
   * @param message the message
   * @param <T> the type
   * @return the encoded bytes
   * @throws UnencodableMessageException if the type of the value can't be encoded
   */
  public <T> byte[] encode(Class<T> type, T message) {
    try {
      return writers.computeIfAbsent(type, mapper::writerFor).writeValueAsBytes(message);
    } catch (IOException failure) {
      throw new UnencodableMessageException(type, failure);
    }
  }

  /**
   * Decodes a message.
   *
   * @param type the expected sealed interface or record
   * @param bytes the bytes, which must consist of exactly one message
   * @param <T> the type
   * @return the message
   * @throws MalformedMessageException if the bytes are not a message of this type
   */
  public <T> T decode(Class<T> type, byte[] bytes) {
    requireSingleCompleteValue(type, bytes);
    T message = decodeValidated(type, bytes);
    if (message == null) {
      throw new MalformedMessageException(type, "value is nil");
    }
    return message;
  }

  ConfigurationFrameEncoder configurationFrames() {
    return configurationFrames;
  }

  ServingFrameEncoder serving() {
    return serving;
  }

  private <T> T decodeValidated(Class<T> type, byte[] bytes) {
    try {
      return readers.computeIfAbsent(type, mapper::readerFor).readValue(bytes);
    } catch (IOException | RuntimeException failure) {
      throw new MalformedMessageException(type, failure);
    }
  }

  /**
   * Checks that the bytes are one complete value, without decoding it. The decoder allocates the
   * declared length of a value before reading it, so a corrupt or malicious length would cause an
   * out-of-memory error. This check allocates nothing and fails if a declared length exceeds the
   * remaining bytes.
   */
  private static void requireSingleCompleteValue(Class<?> type, byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      if (unpacker.hasNext()) {
        throw new MalformedMessageException(type, "trailing bytes after the message");
      }
    } catch (IOException | org.msgpack.core.MessagePackException failure) {
      throw new MalformedMessageException(type, failure);
    }
  }
}
