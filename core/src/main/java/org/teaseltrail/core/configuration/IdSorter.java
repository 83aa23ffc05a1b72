package org.teaseltrail.core.configuration;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import org.teaseltrail.core.id.StringId;

/** Sorts ids by their text, so that every member iterates over them in the same order. */
final class IdSorter {

  private IdSorter() {}

  /**
   * Copies a map to one that is sorted by id.
   *
   * @param source any map; the iteration order of an immutable map differs between processes
   * @return a mutable copy
   */
  static <K extends StringId, V> Map<K, V> sorted(Map<K, V> source) {
    Map<K, V> sorted = new TreeMap<>(Comparator.comparing(StringId::value));
    sorted.putAll(source);
    return sorted;
  }
}
