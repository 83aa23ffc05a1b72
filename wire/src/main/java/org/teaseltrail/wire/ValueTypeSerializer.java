package org.teaseltrail.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;

/** Serializes a value type as its text or number. */
final class ValueTypeSerializer extends StdSerializer<Object> {

  private static final long serialVersionUID = 1L;

  private final transient ValueType valueType;

  ValueTypeSerializer(ValueType valueType) {
    super(Object.class);
    this.valueType = valueType;
  }

  @Override
  public void serialize(Object value, JsonGenerator generator, SerializerProvider provider)
      throws IOException {
    if (valueType.isText()) {
      generator.writeString(valueType.textOf(value));
    } else {
      generator.writeNumber(valueType.numberOf(value));
    }
  }
}
