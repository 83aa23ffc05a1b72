package org.teaseltrail.core.collection;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Immutable copies that keep the order of what they copy.
 *
 * <p>{@link Map#copyOf} and {@link Set#copyOf} iterate in an order that differs between processes,
 * so that a decision that depends on it can't be reproduced from its events.
 */
public final class OrderedCopies {

  private OrderedCopies() {}

  /** Returns an immutable copy of a map, in the map's order. */
  public static <K, V> Map<K, V> mapOf(Map<? extends K, ? extends V> map) {
    return Collections.unmodifiableMap(new LinkedHashMap<K, V>(map));
  }

  /** Returns the different elements of a collection as an immutable set, in their order. */
  public static <E> Set<E> setOf(Collection<? extends E> elements) {
    return Collections.unmodifiableSet(new LinkedHashSet<E>(elements));
  }
}
