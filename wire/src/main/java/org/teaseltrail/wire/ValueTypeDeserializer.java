package org.teaseltrail.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import java.io.IOException;

/** Deserializes a value type from its text or number. */
final class ValueTypeDeserializer extends StdDeserializer<Object> {

  private static final long serialVersionUID = 1L;

  private final transient ValueType valueType;

  ValueTypeDeserializer(ValueType valueType) {
    super(valueType.type());
    this.valueType = valueType;
  }

  @Override
  public Object deserialize(JsonParser parser, DeserializationContext context) throws IOException {
    JsonToken expected = valueType.isText() ? JsonToken.VALUE_STRING : JsonToken.VALUE_NUMBER_INT;
    if (parser.currentToken() != expected) {
      return context.handleUnexpectedToken(valueType.type(), parser);
    }
    if (valueType.isText()) {
      return valueType.fromText(parser.getText());
    }
    return valueType.fromNumber(parser.getLongValue());
  }
}
