package org.teaseltrail.wire;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;

/** Is a record that is written as its only component: an id, a revision, a rank. */
final class ValueType {

  private final Class<?> type;
  private final Class<?> componentType;

  /** Looked up once: an answer to a sync holds an id for each upstream. */
  private final Method accessor;

  private final Constructor<?> constructor;

  /** Makes the record readable, since records may be nested in types that aren't public. */
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
    return String.valueOf(read(value));
  }

  long numberOf(Object value) {
    return ((Number) read(value)).longValue();
  }

  /** Makes the value from a text; a number in decimal digits for a value type of a number. */
  Object fromText(String text) {
    return isText() ? construct(text) : fromNumber(Long.parseLong(text));
  }

  Object fromNumber(long number) {
    if (componentType == int.class) {
      return construct(Math.toIntExact(number));
    }
    return construct(number);
  }

  private Object read(Object value) {
    try {
      return accessor.invoke(value);
    } catch (ReflectiveOperationException failure) {
      throw new IllegalStateException("accessor of " + type.getName(), failure);
    }
  }

  private Object construct(Object argument) {
    try {
      return constructor.newInstance(argument);
    } catch (InvocationTargetException failure) {
      throw new IllegalArgumentException("not a " + type.getSimpleName(), failure.getCause());
    } catch (ReflectiveOperationException failure) {
      throw new IllegalStateException("constructor of " + type.getName(), failure);
    }
  }

  private static Constructor<?> constructorOf(Class<?> type, Class<?> componentType) {
    try {
      return type.getDeclaredConstructor(componentType);
    } catch (NoSuchMethodException failure) {
      throw new IllegalStateException("constructor of " + type.getName(), failure);
    }
  }
}
