package org.teaseltrail.wire;

import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.KeyDeserializer;

/** Deserializes a value type from a map key. */
final class ValueTypeKeyDeserializer extends KeyDeserializer {

  private final ValueType valueType;

  ValueTypeKeyDeserializer(ValueType valueType) {
    this.valueType = valueType;
  }

  @Override
  public Object deserializeKey(String key, DeserializationContext context) {
    return valueType.fromText(key);
  }
}
