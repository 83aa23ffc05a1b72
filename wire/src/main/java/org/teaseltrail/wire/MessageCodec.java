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
 * Writes records and sealed interfaces of records as MessagePack, and reads them back.
 *
 * <ul>
 *   <li>A record is a map from component name to value; absent optionals are left out.
 *   <li>A sealed interface is an array of two: the permitted record's simple name and the record.
 *   <li>A value type (a record of one text or whole number that belongs to no sealed interface,
 *       such as an id) is that text or number, also as a map key.
 *   <li>A byte array is binary.
 * </ul>
 *
 * <p>The format can grow: unknown components are skipped, a missing number reads as zero and a
 * missing optional as empty, while any other missing component is a failure. Thread-safe.
 */
public final class MessageCodec {

  /**
   * Records that each sync carries dozens of; they are written without the names of their
   * components, and grow at their end only.
   */
  private static final List<Class<?>> COUNTED =
      List.of(QuotaReport.class, QuotaGrant.class, Observation.class);

  private final ObjectMapper mapper;
  private final Map<Class<?>, ObjectWriter> writers = new ConcurrentHashMap<>();
  private final Map<Class<?>, ObjectReader> readers = new ConcurrentHashMap<>();
  private final ConfigurationFrames configurations = new ConfigurationFrames(this);
  private final ServingFrames serving = new ServingFrames(this);

  /** Makes a codec. It is costly to warm up, so a process keeps one. */
  public MessageCodec() {
    mapper = new ObjectMapper(new MessagePackFactory());
    mapper.registerModule(new Jdk8Module());
    mapper.registerModule(new ValueTypeModule());
    mapper.setAnnotationIntrospector(new SealedTypeIntrospector());
    COUNTED.forEach(
        type -> mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(Shape.ARRAY)));
    mapper.setDefaultPropertyInclusion(JsonInclude.Include.NON_ABSENT);
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
    mapper.enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS);
  }

  /**
   * Writes a message.
   *
   * @param type the sealed interface or record that the reader will expect
   * @param message the message
   * @param <T> the type
   * @return its bytes
   * @throws UnencodableMessageException if the value's type can't be written
   */
  public <T> byte[] encode(Class<T> type, T message) {
    try {
      return writers.computeIfAbsent(type, mapper::writerFor).writeValueAsBytes(message);
    } catch (IOException failure) {
      throw new UnencodableMessageException(type, failure);
    }
  }

  /**
   * Reads a message.
   *
   * @param type the sealed interface or record that is expected
   * @param bytes the bytes, which must hold this message and nothing else
   * @param <T> the type
   * @return the message
   * @throws MalformedMessageException if the bytes are no such message
   */
  public <T> T decode(Class<T> type, byte[] bytes) {
    requireOneWholeValue(type, bytes);
    T message = decodeChecked(type, bytes);
    if (message == null) {
      throw new MalformedMessageException(type, "nil");
    }
    return message;
  }

  ConfigurationFrames configurations() {
    return configurations;
  }

  ServingFrames serving() {
    return serving;
  }

  private <T> T decodeChecked(Class<T> type, byte[] bytes) {
    try {
      return readers.computeIfAbsent(type, mapper::readerFor).readValue(bytes);
    } catch (IOException | RuntimeException failure) {
      throw new MalformedMessageException(type, failure);
    }
  }

  /**
   * Walks over the bytes without reading values. Guards against a damaged or hostile length, which
   * would show as an out-of-memory error since the decoder sets a value's declared length aside
   * before it reads it. The guard holds because the walk sets nothing aside and fails where a
   * declared length passes the end of the bytes.
   */
  private static void requireOneWholeValue(Class<?> type, byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      if (unpacker.hasNext()) {
        throw new MalformedMessageException(type, "bytes after the end");
      }
    } catch (IOException | org.msgpack.core.MessagePackException failure) {
      throw new MalformedMessageException(type, failure);
    }
  }
}
