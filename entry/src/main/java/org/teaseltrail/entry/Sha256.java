package org.teaseltrail.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Makes SHA-256 digests in lower-case hexadecimal. */
final class Sha256 {

  private static final byte SEPARATOR = 0;

  private Sha256() {}

  static String ofText(String text) {
    return HexFormat.of().formatHex(digest().digest(text.getBytes(StandardCharsets.UTF_8)));
  }

  /** Digests parts with a separator between them, so that no two splits are alike. */
  static String ofParts(String head, byte[] body) {
    MessageDigest digest = digest();
    digest.update(head.getBytes(StandardCharsets.UTF_8));
    digest.update(SEPARATOR);
    return HexFormat.of().formatHex(digest.digest(body));
  }

  private static MessageDigest digest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
