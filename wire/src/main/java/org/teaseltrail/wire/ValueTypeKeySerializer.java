package org.teaseltrail.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;

/** Serializes a value type as a map key: its text, or its number in decimal digits. */
final class ValueTypeKeySerializer extends StdSerializer<Object> {

  private static final long serialVersionUID = 1L;

  private final transient ValueType valueType;

  ValueTypeKeySerializer(ValueType valueType) {
    super(Object.class);
    this.valueType = valueType;
  }

  @Override
  public void serialize(Object value, JsonGenerator generator, SerializerProvider provider)
      throws IOException {
    generator.writeFieldName(valueType.textOf(value));
  }
}
