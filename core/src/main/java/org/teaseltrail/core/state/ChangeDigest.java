package org.teaseltrail.core.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.teaseltrail.core.state.Command.ChangeConfiguration;

/**
 * Digests the content of a change. The text of a record names its type and all its components, and
 * the records of the configuration hold their sets in order, so equal content gives equal text in
 * every process.
 */
final class ChangeDigest {

  private ChangeDigest() {}

  /** Returns SHA-256 over the expected revision and the items, in lower-case hexadecimal. */
  static String of(ChangeConfiguration command) {
    String content = command.expected() + "\n" + command.items();
    return HexFormat.of().formatHex(sha256().digest(content.getBytes(StandardCharsets.UTF_8)));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
