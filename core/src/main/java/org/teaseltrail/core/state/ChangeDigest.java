package org.teaseltrail.core.state;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.teaseltrail.core.digest.Sha256;
import org.teaseltrail.core.state.Command.ChangeConfiguration;

/**
 * Computes the content digest of a configuration change. The text form of a record contains its
 * type and all components, and the configuration records keep their sets sorted, so equal content
 * results in equal text in every process.
 */
final class ChangeDigest {

  private ChangeDigest() {}

  /** Returns the SHA-256 hash of the expected revision and the items, in lower-case hexadecimal. */
  static String of(ChangeConfiguration command) {
    String content = command.expected() + "\n" + command.items();
    return HexFormat.of()
        .formatHex(Sha256.create().digest(content.getBytes(StandardCharsets.UTF_8)));
  }
}
