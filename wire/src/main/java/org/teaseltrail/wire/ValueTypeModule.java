package org.teaseltrail.wire;

import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.DeserializationConfig;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.SerializationConfig;
import com.fasterxml.jackson.databind.deser.Deserializers;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.Serializers;

/** Jackson module that serializes value types as their single component. */
final class ValueTypeModule extends SimpleModule {

  private static final long serialVersionUID = 1L;

  ValueTypeModule() {
    super("value-types");
  }

  @Override
  public void setupModule(SetupContext context) {
    context.addSerializers(new ValueSerializers());
    context.addKeySerializers(new KeySerializers());
    context.addDeserializers(new ValueDeserializers());
    context.addKeyDeserializers(ValueTypeModule::keyDeserializer);
  }

  private static KeyDeserializer keyDeserializer(
      JavaType type, DeserializationConfig config, BeanDescription description) {
    Class<?> raw = type.getRawClass();
    return ValueType.isValueType(raw) ? new ValueTypeKeyDeserializer(ValueType.of(raw)) : null;
  }

  private static final class ValueSerializers extends Serializers.Base {
    @Override
    public JsonSerializer<?> findSerializer(
        SerializationConfig config, JavaType type, BeanDescription description) {
      Class<?> raw = type.getRawClass();
      return ValueType.isValueType(raw) ? new ValueTypeSerializer(ValueType.of(raw)) : null;
    }
  }

  private static final class KeySerializers extends Serializers.Base {
    @Override
    public JsonSerializer<?> findSerializer(
        SerializationConfig config, JavaType type, BeanDescription description) {
      Class<?> raw = type.getRawClass();
      return ValueType.isValueType(raw) ? new ValueTypeKeySerializer(ValueType.of(raw)) : null;
    }
  }

  private static final class ValueDeserializers extends Deserializers.Base {
    @Override
    public JsonDeserializer<?> findBeanDeserializer(
        JavaType type, DeserializationConfig config, BeanDescription description) {
      Class<?> raw = type.getRawClass();
      return ValueType.isValueType(raw) ? new ValueTypeDeserializer(ValueType.of(raw)) : null;
    }
  }
}
