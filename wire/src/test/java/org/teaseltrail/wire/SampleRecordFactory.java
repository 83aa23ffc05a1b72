package org.teaseltrail.wire;

import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/** Creates sample values of any message type by reflection, so that new types are covered too. */
final class SampleRecordFactory {

  private static final int SAMPLE_NUMBER = 3;
  private static final String TEXT = "a1";

  private SampleRecordFactory() {}

  /** Returns a sample value of each record that a sealed interface permits. */
  static <T> List<SampleMessage<T>> samplesOf(Class<T> root) {
    List<SampleMessage<T>> samples = new ArrayList<>();
    for (Class<?> permitted : root.getPermittedSubclasses()) {
      if (SealedTypeIntrospector.isSealedInterface(permitted)) {
        samplesOf(permitted)
            .forEach(s -> samples.add(new SampleMessage<>(root, root.cast(s.message()))));
      } else {
        samples.add(new SampleMessage<>(root, root.cast(record(permitted))));
      }
    }
    return samples;
  }

  static Object record(Class<?> type) {
    RecordComponent[] components = type.getRecordComponents();
    Class<?>[] types =
        Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
    Object[] values =
        Arrays.stream(components).map(c -> value(c.getGenericType())).toArray(Object[]::new);
    try {
      Constructor<?> constructor = type.getDeclaredConstructor(types);
      constructor.setAccessible(true);
      return constructor.newInstance(values);
    } catch (ReflectiveOperationException failure) {
      throw new AssertionError("failed to create a sample of " + type.getName(), failure);
    }
  }

  private static Object value(Type type) {
    if (type instanceof ParameterizedType generic) {
      return containerValue((Class<?>) generic.getRawType(), generic.getActualTypeArguments());
    }
    return simpleValue((Class<?>) type);
  }

  private static Object containerValue(Class<?> type, Type[] arguments) {
    if (type == Optional.class) {
      return Optional.of(value(arguments[0]));
    }
    if (type == List.class) {
      return List.of(value(arguments[0]));
    }
    if (type == Map.class) {
      return Map.of(value(arguments[0]), value(arguments[1]));
    }
    return Set.of(value(arguments[0]));
  }

  private static Object simpleValue(Class<?> type) {
    if (type.isRecord()) {
      return record(type);
    }
    if (SealedTypeIntrospector.isSealedInterface(type)) {
      return samplesOf(type).get(0).message();
    }
    if (type.isEnum()) {
      return type.getEnumConstants()[0];
    }
    return scalarValue(type);
  }

  private static Object scalarValue(Class<?> type) {
    if (type == int.class || type == Integer.class) {
      return SAMPLE_NUMBER;
    } else if (type == long.class || type == Long.class) {
      return (long) SAMPLE_NUMBER;
    } else if (type == double.class) {
      return SAMPLE_NUMBER + 0.5;
    } else if (type == boolean.class) {
      return true;
    } else if (type == byte[].class) {
      return new byte[] {1, -1, 0};
    } else if (type == OptionalLong.class) {
      return OptionalLong.of(SAMPLE_NUMBER);
    } else if (type == OptionalInt.class) {
      return OptionalInt.of(SAMPLE_NUMBER);
    }
    return TEXT;
  }
}
