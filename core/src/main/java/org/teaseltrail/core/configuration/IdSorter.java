package org.teaseltrail.core.configuration;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import org.teaseltrail.core.id.StringId;

/** Orders ids by their text, so that every member looks at them in the same order. */
final class IdSorter {

  private IdSorter() {}

  /**
   * Copies a map into the order of its ids.
   *
   * @param source any map; the order of an immutable map differs from process to process
   * @return a changeable copy
   */
  static <K extends StringId, V> Map<K, V> sorted(Map<K, V> source) {
    Map<K, V> sorted = new TreeMap<>(Comparator.comparing(StringId::value));
    sorted.putAll(source);
    return sorted;
  }
}
