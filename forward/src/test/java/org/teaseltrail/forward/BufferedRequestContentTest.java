package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.digest.Sha256;

class BufferedRequestContentTest {

  private static FullHttpRequest request(HttpMethod method, String uri, String... bodyParts) {
    var body = Unpooled.compositeBuffer();
    for (String part : bodyParts) {
      body.addComponent(true, Unpooled.wrappedBuffer(part.getBytes(StandardCharsets.UTF_8)));
    }
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, body);
  }

  private static byte[] digest(FullHttpRequest request) {
    MessageDigest digest = Sha256.create();
    new BufferedRequestContent(request).updateDigest(digest);
    return digest.digest();
  }

  /** Guards against a digest that depends on the chunks of the body or on earlier reads of it. */
  @Test
  void digestDoesNotDependOnBodyChunks() {
    FullHttpRequest whole = request(HttpMethod.POST, "/a?b=1", "0123456789");
    byte[] first = digest(whole);
    assertThat(digest(whole)).isEqualTo(first);
    assertThat(digest(request(HttpMethod.POST, "/a?b=1", "0123", "456789"))).isEqualTo(first);
  }

  @Test
  void digestCoversMethodPathQueryAndBody() {
    byte[] first = digest(request(HttpMethod.POST, "/a?b=1", "0123"));
    assertThat(digest(request(HttpMethod.PUT, "/a?b=1", "0123"))).isNotEqualTo(first);
    assertThat(digest(request(HttpMethod.POST, "/a?b=2", "0123"))).isNotEqualTo(first);
    assertThat(digest(request(HttpMethod.POST, "/b?b=1", "0123"))).isNotEqualTo(first);
    assertThat(digest(request(HttpMethod.POST, "/a?b=1", "0124"))).isNotEqualTo(first);
  }
}
