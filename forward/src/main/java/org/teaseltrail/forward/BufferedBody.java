package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;

/**
 * The body of an answer that is kept until it is complete. Small parts share a block: a buffer for
 * each part of a byte would take a hundred times as much memory as the body. One buffer that grows
 * would take twice its size while it is copied.
 */
final class BufferedBody {

  private static final int BLOCK_BYTES = 4 * 1024;

  private Optional<CompositeByteBuf> blocks = Optional.empty();
  private ByteBuf open = Unpooled.EMPTY_BUFFER;

  /** Adds a copy of a part. */
  void add(ByteBuf part) {
    if (part.readableBytes() >= BLOCK_BYTES) {
      closeBlock();
      addBlock(Unpooled.wrappedBuffer(ByteBufUtil.getBytes(part)));
      return;
    }
    open = open == Unpooled.EMPTY_BUFFER ? Unpooled.buffer(part.readableBytes()) : open;
    open.writeBytes(part, part.readerIndex(), part.readableBytes());
    if (open.readableBytes() >= BLOCK_BYTES) {
      closeBlock();
    }
  }

  int sizeBytes() {
    return blocks.map(ByteBuf::readableBytes).orElse(0) + open.readableBytes();
  }

  /** Returns the number of buffers in which the body is held. */
  int bufferCount() {
    return blocks.map(CompositeByteBuf::numComponents).orElse(0) + (open.isReadable() ? 1 : 0);
  }

  /** Returns the body, which belongs to the caller from then on; this one is empty then. */
  ByteBuf take() {
    closeBlock();
    ByteBuf body = blocks.map(ByteBuf.class::cast).orElse(Unpooled.EMPTY_BUFFER);
    blocks = Optional.empty();
    return body;
  }

  /** Drops what has been added. */
  void clear() {
    take().release();
  }

  private void closeBlock() {
    if (open.isReadable()) {
      addBlock(open);
    }
    open = Unpooled.EMPTY_BUFFER;
  }

  private void addBlock(ByteBuf block) {
    if (blocks.isEmpty()) {
      blocks = Optional.of(Unpooled.compositeBuffer(Integer.MAX_VALUE));
    }
    blocks.get().addComponent(true, block);
  }
}
