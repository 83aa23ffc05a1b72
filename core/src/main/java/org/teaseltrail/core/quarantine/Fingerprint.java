package org.teaseltrail.core.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Objects;
import java.util.Optional;
import org.teaseltrail.core.digest.Sha256;
import org.teaseltrail.core.id.CustomerId;

/**
 * Fingerprint of a request's content. Requests of one customer with equal content have the same
 * fingerprint, whatever request ids they carry and whichever VM receives them.
 *
 * <p>The customer is included, so that no customer can make the requests of another one suspect.
 * The scope is cheap to compute and rules out nearly all requests that are not suspect, so that
 * their content never has to be digested.
 *
 * @param scope hash of customer, host and path
 * @param digest first eight bytes of the SHA-256 digest of customer, host and content
 */
public record Fingerprint(int scope, long digest) {

  /**
   * Computes the scope of a request.
   *
   * @param customer the customer that sent it, if known
   * @param host the host that it names
   * @param path its path without the query
   * @return the scope
   */
  public static int scope(Optional<CustomerId> customer, String host, String path) {
    return Objects.hash(customer.map(CustomerId::value).orElse(""), host, path);
  }

  /**
   * Computes the fingerprint of a request.
   *
   * @param scope its scope
   * @param customer the customer that sent it, if known
   * @param host the host that it names
   * @param content its content
   * @return the fingerprint
   */
  public static Fingerprint of(
      int scope, Optional<CustomerId> customer, String host, RequestContent content) {
    MessageDigest sha256 = Sha256.create();
    updateWithText(sha256, customer.map(CustomerId::value).orElse(""));
    updateWithText(sha256, host);
    content.updateDigest(sha256);
    return new Fingerprint(scope, ByteBuffer.wrap(sha256.digest()).getLong());
  }

  /**
   * Returns the text representation that is used in logs.
   *
   * @return 24 hexadecimal digits
   */
  public String text() {
    HexFormat hex = HexFormat.of();
    return hex.toHexDigits(scope) + hex.toHexDigits(digest);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Fingerprint that && scope == that.scope && digest == that.digest;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(digest);
  }

  /** Adds a text and a terminator to a digest, so that no two lists of texts give equal bytes. */
  private static void updateWithText(MessageDigest digest, String text) {
    digest.update(text.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
  }
}
