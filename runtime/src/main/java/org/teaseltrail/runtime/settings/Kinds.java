package org.teaseltrail.runtime.settings;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;

/** Makes the kinds of values that settings take. */
public final class Kinds {

  private Kinds() {}

  /**
   * Takes a duration with a unit.
   *
   * @param least the least value, such as {@code 10ms}
   * @param greatest the greatest value, such as {@code 1h}
   * @return the kind
   */
  public static ValueKind<Duration> duration(String least, String greatest) {
    return new DurationKind(least, greatest);
  }

  /**
   * Takes a size in bytes with a unit.
   *
   * @param least the least value, such as {@code 1KiB}
   * @param greatest the greatest value, such as {@code 1GiB}
   * @return the kind, whose values are bytes
   */
  public static ValueKind<Long> size(String least, String greatest) {
    return new SizeKind(least, greatest);
  }

  /**
   * Takes a whole number.
   *
   * @param least the least value
   * @param greatest the greatest value
   * @return the kind
   */
  public static ValueKind<Integer> integer(int least, int greatest) {
    return new NumberKind<>(Integer::valueOf, "a whole number", least, greatest);
  }

  /**
   * Takes a long whole number.
   *
   * @param least the least value
   * @param greatest the greatest value
   * @return the kind
   */
  public static ValueKind<Long> longInteger(long least, long greatest) {
    return new NumberKind<>(Long::valueOf, "a whole number", least, greatest);
  }

  /**
   * Takes a decimal number.
   *
   * @param least the least value
   * @param greatest the greatest value
   * @return the kind
   */
  public static ValueKind<Double> decimal(double least, double greatest) {
    return new NumberKind<>(Double::valueOf, "a decimal number", least, greatest);
  }

  /**
   * Takes {@code true} or {@code false}.
   *
   * @return the kind
   */
  public static ValueKind<Boolean> bool() {
    return new ChoiceKind<>(List.of(true, false));
  }

  /**
   * Takes one constant of an enum, written in lower case with hyphens.
   *
   * @param type the enum
   * @param <E> the enum
   * @return the kind
   */
  public static <E extends Enum<E>> ValueKind<E> choice(Class<E> type) {
    return new ChoiceKind<>(List.of(type.getEnumConstants()));
  }

  /**
   * Takes the address of a socket: an IP number and a port.
   *
   * @return the kind
   */
  public static ValueKind<InetSocketAddress> address() {
    return new AddressKind();
  }

  /**
   * Takes a path; a relative one counts from the process's working folder.
   *
   * @return the kind
   */
  public static ValueKind<Path> path() {
    return new ParsedKind<>(Path::of, InvalidPathException.class, "a path");
  }

  /**
   * Takes an id or another text that a constructor checks.
   *
   * @param constructor makes the value and throws an {@link IllegalArgumentException} or another
   *     unchecked failure for a text it doesn't take
   * @param description what it takes, such as {@code "a VM's name"}
   * @param <T> the type of the value
   * @return the kind
   */
  public static <T> ValueKind<T> text(Function<String, T> constructor, String description) {
    return new ParsedKind<>(constructor, RuntimeException.class, description);
  }

  /**
   * Takes the path of a file that holds a secret.
   *
   * @return the kind, whose value is the secret itself
   */
  public static ValueKind<Secret> secretFile() {
    return new SecretFileKind();
  }

  /**
   * Takes values with commas between them.
   *
   * @param element the kind of each
   * @param <T> the type of each
   * @return the kind
   */
  public static <T> ValueKind<List<T>> list(ValueKind<T> element) {
    return new ListKind<>(element);
  }
}
