package org.teaseltrail.core.quarantine;

import java.security.MessageDigest;

/** Content of a request as far as this process has received it: method, path with query, body. */
@FunctionalInterface
public interface RequestContent {

  /** Content of a request that has none. */
  RequestContent EMPTY = digest -> {};

  /**
   * Updates a digest with the complete content; equal content gives equal bytes.
   *
   * @param digest the digest to update
   */
  void updateDigest(MessageDigest digest);
}
