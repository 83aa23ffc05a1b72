package org.teaseltrail.core.serving;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Is what makes one list of named values out of another: those that came or changed, and the names
 * of those that went. Values that stay keep their places, new ones come last.
 *
 * @param put values that came or changed
 * @param removed names of those that went
 * @param <K> the names
 * @param <V> the values
 */
public record ListDelta<K, V>(List<V> put, List<K> removed) {

  /** Copies the lists. */
  public ListDelta {
    put = List.copyOf(put);
    removed = List.copyOf(removed);
  }

  /**
   * Finds what differs.
   *
   * @param from the list before
   * @param to the list after
   * @param name returns a value's name, which no other value of its list has
   * @param <K> the names
   * @param <V> the values
   * @return the difference, or empty if the values also stand in another order
   */
  public static <K, V> Optional<ListDelta<K, V>> between(
      List<V> from, List<V> to, Function<V, K> name) {
    Map<K, V> before = byName(from, name);
    Map<K, V> after = byName(to, name);
    List<V> put = to.stream().filter(each -> !each.equals(before.get(name.apply(each)))).toList();
    List<K> removed = before.keySet().stream().filter(key -> !after.containsKey(key)).toList();
    ListDelta<K, V> delta = new ListDelta<>(put, removed);
    return delta.applyTo(from, name).equals(to) ? Optional.of(delta) : Optional.empty();
  }

  /**
   * Makes the list after out of the list before.
   *
   * @param from the list before
   * @param name returns a value's name
   * @return the list after
   */
  public List<V> applyTo(List<V> from, Function<V, K> name) {
    Map<K, V> after = byName(from, name);
    removed.forEach(after::remove);
    put.forEach(each -> after.put(name.apply(each), each));
    return new ArrayList<>(after.values());
  }

  private static <K, V> Map<K, V> byName(List<V> values, Function<V, K> name) {
    Map<K, V> named = new LinkedHashMap<>();
    values.forEach(each -> named.put(name.apply(each), each));
    return named;
  }
}
