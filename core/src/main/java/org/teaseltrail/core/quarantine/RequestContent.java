package org.teaseltrail.core.quarantine;

import java.security.MessageDigest;

/** Is what a request asks for, as far as this process holds it: method, path with query, body. */
@FunctionalInterface
public interface RequestContent {

  /** Stands for a request without any content. */
  RequestContent EMPTY = digest -> {};

  /**
   * Feeds the whole content to a digest; equal content feeds equal bytes.
   *
   * @param digest takes the bytes
   */
  void updateDigest(MessageDigest digest);
}
