package org.teaseltrail.core.digest;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Makes the JDK's SHA-256 digests (FIPS 180-4). */
public final class Sha256 {

  private Sha256() {}

  /**
   * Makes a digest that has taken nothing yet.
   *
   * @return the digest
   */
  public static MessageDigest create() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
