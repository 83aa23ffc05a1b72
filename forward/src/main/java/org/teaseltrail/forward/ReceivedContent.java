package org.teaseltrail.forward;

import io.netty.handler.codec.http.FullHttpRequest;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.teaseltrail.core.quarantine.RequestContent;

/** Is the content of a request that was read whole and whose body is still held. */
record ReceivedContent(FullHttpRequest received) implements RequestContent {

  private static final byte LINE_END = '\n';

  @Override
  public void updateDigest(MessageDigest digest) {
    feedLine(digest, received.method().name());
    feedLine(digest, received.uri());
    for (var buffer : received.content().nioBuffers()) {
      digest.update(buffer);
    }
  }

  /** Feeds a text and its end; neither a method nor a URI holds the end of a line. */
  private static void feedLine(MessageDigest digest, String text) {
    digest.update(text.getBytes(StandardCharsets.UTF_8));
    digest.update(LINE_END);
  }
}
