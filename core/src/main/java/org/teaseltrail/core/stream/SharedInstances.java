package org.teaseltrail.core.stream;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps one instance of equal values, so that many holders of a value share its memory.
 *
 * @param <T> an immutable type
 */
final class SharedInstances<T> {

  /** Bounds the memory of values that are no longer held; after it, sharing begins anew. */
  private static final int MAX_VALUES = 1_000;

  private final Map<T, T> values = new HashMap<>();

  /** Returns the instance to hold in place of a value. */
  T share(T value) {
    if (values.size() >= MAX_VALUES && !values.containsKey(value)) {
      values.clear();
    }
    T known = values.putIfAbsent(value, value);
    return known == null ? value : known;
  }
}
