package org.teaseltrail.runtime.settings;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;

/** Factory of the value kinds that settings can have. */
public final class ValueKinds {

  private ValueKinds() {}

  /**
   * Returns a kind that accepts a duration with a unit.
   *
   * @param min the minimum value, such as {@code 10ms}
   * @param max the maximum value, such as {@code 1h}
   * @return the kind
   */
  public static ValueKind<Duration> duration(String min, String max) {
    return new DurationKind(min, max);
  }

  /**
   * Returns a kind that accepts a size in bytes with a unit.
   *
   * @param min the minimum value, such as {@code 1KiB}
   * @param max the maximum value, such as {@code 1GiB}
   * @return the kind, whose values are bytes
   */
  public static ValueKind<Long> size(String min, String max) {
    return new SizeKind(min, max);
  }

  /**
   * Returns a kind that accepts an integer.
   *
   * @param min the minimum value
   * @param max the maximum value
   * @return the kind
   */
  public static ValueKind<Integer> integer(int min, int max) {
    return new NumberKind<>(Integer::valueOf, "a whole number", min, max);
  }

  /**
   * Returns a kind that accepts a 64-bit integer.
   *
   * @param min the minimum value
   * @param max the maximum value
   * @return the kind
   */
  public static ValueKind<Long> longInteger(long min, long max) {
    return new NumberKind<>(Long::valueOf, "a whole number", min, max);
  }

  /**
   * Returns a kind that accepts a decimal number.
   *
   * @param min the minimum value
   * @param max the maximum value
   * @return the kind
   */
  public static ValueKind<Double> decimal(double min, double max) {
    return new NumberKind<>(Double::valueOf, "a decimal number", min, max);
  }

  /**
   * Returns a kind that accepts {@code true} or {@code false}.
   *
   * @return the kind
   */
  public static ValueKind<Boolean> bool() {
    return new ChoiceKind<>(List.of(true, false));
  }

  /**
   * Returns a kind that accepts a constant of an enum, written in lower case with hyphens.
   *
   * @param type the enum
   * @param <E> the enum
   * @return the kind
   */
  public static <E extends Enum<E>> ValueKind<E> choice(Class<E> type) {
    return new ChoiceKind<>(List.of(type.getEnumConstants()));
  }

  /**
   * Returns a kind that accepts a socket address: an IP address with a port.
   *
   * @return the kind
   */
  public static ValueKind<InetSocketAddress> address() {
    return new AddressKind();
  }

  /**
   * Returns a kind that accepts a path; a relative path is resolved against the working directory
   * of the process.
   *
   * @return the kind
   */
  public static ValueKind<Path> path() {
    return new ParsedKind<>(Path::of, InvalidPathException.class, "a path");
  }

  /**
   * Returns a kind that accepts an id or another text that a constructor validates.
   *
   * @param constructor creates the value; throws an {@link IllegalArgumentException} or another
   *     unchecked exception for invalid text
   * @param description what is accepted, such as {@code "a VM's name"}
   * @param <T> the type of the value
   * @return the kind
   */
  public static <T> ValueKind<T> text(Function<String, T> constructor, String description) {
    return new ParsedKind<>(constructor, RuntimeException.class, description);
  }

  /**
   * Returns a kind that accepts the path of a file that contains a secret.
   *
   * @return the kind, whose value is the secret itself
   */
  public static ValueKind<Secret> secretFile() {
    return new SecretFileKind();
  }

  /**
   * Returns a kind that accepts a comma-separated list.
   *
   * @param element the kind of the elements
   * @param <T> the type of the elements
   * @return the kind
   */
  public static <T> ValueKind<List<T>> list(ValueKind<T> element) {
    return new ListKind<>(element);
  }
}
