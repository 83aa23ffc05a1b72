package org.teaseltrail.forward;

import io.netty.handler.codec.http.FullHttpRequest;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.teaseltrail.core.quarantine.RequestContent;

/** The content of a completely received request whose body is still buffered. */
record BufferedRequestContent(FullHttpRequest received) implements RequestContent {

  private static final byte LINE_END = '\n';

  @Override
  public void updateDigest(MessageDigest digest) {
    feedLine(digest, received.method().name());
    feedLine(digest, received.uri());
    for (var buffer : received.content().nioBuffers()) {
      digest.update(buffer);
    }
  }

  /**
   * Updates the digest with a line and its terminator. The result is unambiguous, since neither a
   * method nor a URI contains a line feed.
   */
  private static void feedLine(MessageDigest digest, String text) {
    digest.update(text.getBytes(StandardCharsets.UTF_8));
    digest.update(LINE_END);
  }
}
