package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Bodies of answers that are kept until they are complete. */
class BufferedBodyTest {

  private final BufferedBody body = new BufferedBody();

  /** Guards against an answer in parts of a byte that takes many times its size. */
  @Test
  void partsOfOneByteShareBuffers() {
    for (int i = 0; i < 100_000; i++) {
      body.add(Unpooled.wrappedBuffer(new byte[] {(byte) i}));
    }
    assertThat(body.sizeBytes()).isEqualTo(100_000);
    assertThat(body.bufferCount()).isLessThan(100);
  }

  @Test
  void partsOfAnySizeStayInTheirOrder() {
    final String expected = "a" + "b".repeat(5_000) + "c" + "d".repeat(4_095) + "e";
    body.add(text("a"));
    body.add(text("b".repeat(5_000)));
    body.add(text("c"));
    body.add(text("d".repeat(4_095)));
    body.add(text("e"));
    ByteBuf taken = body.take();
    assertThat(taken.toString(StandardCharsets.ISO_8859_1)).isEqualTo(expected);
    assertThat(body.sizeBytes()).isZero();
    taken.release();
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }
}
