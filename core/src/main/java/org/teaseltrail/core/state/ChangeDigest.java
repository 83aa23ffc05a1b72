package org.teaseltrail.core.state;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.teaseltrail.core.digest.Sha256;
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
    return HexFormat.of()
        .formatHex(Sha256.create().digest(content.getBytes(StandardCharsets.UTF_8)));
  }
}
