package org.teaseltrail.wire;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;

/** A record type that is encoded as its single component, such as an id, a revision or a rank. */
final class ValueType {

  private final Class<?> type;
  private final Class<?> componentType;

  /** Cached, as the response to a sync contains an id for each upstream. */
  private final Method accessor;

  private final Constructor<?> constructor;

  /** Makes the members accessible, as records may be nested in types that aren't public. */
  private ValueType(Class<?> type, RecordComponent component) {
    this.type = type;
    componentType = component.getType();
    accessor = component.getAccessor();
    accessor.setAccessible(true);
    constructor = constructorOf(type, componentType);
    constructor.setAccessible(true);
  }

  static boolean isValueType(Class<?> type) {
    if (!type.isRecord() || type.getRecordComponents().length != 1) {
      return false;
    }
    Class<?> component = type.getRecordComponents()[0].getType();
    boolean plain = component == String.class || component == long.class || component == int.class;
    return plain && Arrays.stream(type.getInterfaces()).noneMatch(Class::isSealed);
  }

  static ValueType of(Class<?> type) {
    return new ValueType(type, type.getRecordComponents()[0]);
  }

  Class<?> type() {
    return type;
  }

  boolean isText() {
    return componentType == String.class;
  }

  String textOf(Object value) {
    return String.valueOf(readComponent(value));
  }

  long numberOf(Object value) {
    return ((Number) readComponent(value)).longValue();
  }

  /** Creates a value from text, which holds decimal digits if the component is a number. */
  Object fromText(String text) {
    return isText() ? construct(text) : fromNumber(Long.parseLong(text));
  }

  Object fromNumber(long number) {
    if (componentType == int.class) {
      return construct(Math.toIntExact(number));
    }
    return construct(number);
  }

  private Object readComponent(Object value) {
    try {
      return accessor.invoke(value);
    } catch (ReflectiveOperationException failure) {
      throw new IllegalStateException(
          "failed to invoke the accessor of " + type.getName(), failure);
    }
  }

  private Object construct(Object argument) {
    try {
      return constructor.newInstance(argument);
    } catch (InvocationTargetException failure) {
      throw new IllegalArgumentException(
          "invalid value for " + type.getSimpleName(), failure.getCause());
    } catch (ReflectiveOperationException failure) {
      throw new IllegalStateException(
          "failed to invoke the constructor of " + type.getName(), failure);
    }
  }

  private static Constructor<?> constructorOf(Class<?> type, Class<?> componentType) {
    try {
      return type.getDeclaredConstructor(componentType);
    } catch (NoSuchMethodException failure) {
      throw new IllegalStateException(
          "no single-component constructor in " + type.getName(), failure);
    }
  }
}
