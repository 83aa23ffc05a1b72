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
 * Names what a request asks for: the same for equal requests of one customer, whatever ids they
 * carry and whichever VM they come to.
 *
 * <p>The customer is a part of it, so that nobody brings another customer's requests under
 * suspicion. The scope is cheap to make and tells nearly all requests apart from a few known ones,
 * so that the content of others is never digested.
 *
 * @param scope hash of customer, host and path
 * @param digest first eight bytes of SHA-256 over customer, host and content
 */
public record Fingerprint(int scope, long digest) {

  /**
   * Makes the scope of a request.
   *
   * @param customer whose it is, if that is known
   * @param host the host it names
   * @param path its path without the query
   * @return the scope
   */
  public static int scope(Optional<CustomerId> customer, String host, String path) {
    return Objects.hash(customer.map(CustomerId::value).orElse(""), host, path);
  }

  /**
   * Makes a request's fingerprint.
   *
   * @param scope its scope
   * @param customer whose it is, if that is known
   * @param host the host it names
   * @param content what it asks for
   * @return the fingerprint
   */
  public static Fingerprint of(
      int scope, Optional<CustomerId> customer, String host, RequestContent content) {
    MessageDigest sha256 = Sha256.create();
    feedText(sha256, customer.map(CustomerId::value).orElse(""));
    feedText(sha256, host);
    content.updateDigest(sha256);
    return new Fingerprint(scope, ByteBuffer.wrap(sha256.digest()).getLong());
  }

  /**
   * Returns the text by which logs name it.
   *
   * @return 24 hexadecimal digits
   */
  public String text() {
    HexFormat hex = HexFormat.of();
    return hex.toHexDigits(scope) + hex.toHexDigits(digest);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Fingerprint print && scope == print.scope && digest == print.digest;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(digest);
  }

  /** Feeds a text and its end, so that no two lists of texts feed the same bytes. */
  private static void feedText(MessageDigest digest, String text) {
    digest.update(text.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
  }
}
