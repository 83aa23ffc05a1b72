package org.teaseltrail.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.teaseltrail.core.digest.Sha256;

/** Computes SHA-256 digests in lower-case hexadecimal. */
final class Sha256Hex {

  private static final byte SEPARATOR = 0;

  private Sha256Hex() {}

  static String ofText(String text) {
    return HexFormat.of().formatHex(Sha256.create().digest(text.getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * Returns the digest of two parts with a separator between them, so that parts split at different
   * positions have different digests.
   */
  static String ofParts(String head, byte[] body) {
    MessageDigest digest = Sha256.create();
    digest.update(head.getBytes(StandardCharsets.UTF_8));
    digest.update(SEPARATOR);
    return HexFormat.of().formatHex(digest.digest(body));
  }
}
