package org.teaseltrail.core.serving;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Difference between two versions of a list of keyed values: the values that were added or changed,
 * and the keys of those that were removed. Unchanged and changed values keep their positions; added
 * values are appended.
 *
 * @param put added or changed values
 * @param removed keys of removed values
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public record ListDelta<K, V>(List<V> put, List<K> removed) {

  /** Copies the lists. */
  public ListDelta {
    put = List.copyOf(put);
    removed = List.copyOf(removed);
  }

  /**
   * Computes the difference between two lists.
   *
   * @param from the old list
   * @param to the new list
   * @param name returns a value's key, which is unique within its list
   * @param <K> type of the keys
   * @param <V> type of the values
   * @return the difference, or empty if it can't express the new order of the values
   */
  public static <K, V> Optional<ListDelta<K, V>> between(
      List<V> from, List<V> to, Function<V, K> name) {
    Map<K, V> before = byKey(from, name);
    Map<K, V> after = byKey(to, name);
    List<V> put = to.stream().filter(each -> !each.equals(before.get(name.apply(each)))).toList();
    List<K> removed = before.keySet().stream().filter(key -> !after.containsKey(key)).toList();
    ListDelta<K, V> delta = new ListDelta<>(put, removed);
    return delta.applyTo(from, name).equals(to) ? Optional.of(delta) : Optional.empty();
  }

  /**
   * Applies the difference to the old list.
   *
   * @param from the old list
   * @param name returns a value's key
   * @return the new list
   */
  public List<V> applyTo(List<V> from, Function<V, K> name) {
    Map<K, V> after = byKey(from, name);
    removed.forEach(after::remove);
    put.forEach(each -> after.put(name.apply(each), each));
    return new ArrayList<>(after.values());
  }

  private static <K, V> Map<K, V> byKey(List<V> values, Function<V, K> name) {
    Map<K, V> keyed = new LinkedHashMap<>();
    values.forEach(each -> keyed.put(name.apply(each), each));
    return keyed;
  }
}
