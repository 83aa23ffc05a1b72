package org.teaseltrail.core.digest;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Factory for SHA-256 message digests (FIPS 180-4) of the JDK. */
public final class Sha256 {

  private Sha256() {}

  /**
   * Creates a digest.
   *
   * @return a digest without any input
   */
  public static MessageDigest create() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
