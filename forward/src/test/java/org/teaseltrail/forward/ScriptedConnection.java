package org.teaseltrail.forward;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Random;

/** A connection whose bytes from the upstream are handed over in random pieces. */
final class ScriptedConnection {

  /** How an upstream ends a connection. */
  enum End {
    CLOSE {
      @Override
      void apply(EmbeddedChannel channel) {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      }
    },
    RESET {
      @Override
      void apply(EmbeddedChannel channel) {
        channel.pipeline().fireExceptionCaught(new IOException("reset"));
      }
    };

    abstract void apply(EmbeddedChannel channel);
  }

  private final UpstreamConnection connection;
  private final EmbeddedChannel channel;
  private final Random random;
  private final int maxPieceBytes;
  private byte[] afterNextRequest = {};
  private byte[] afterNextAnswer = {};
  private boolean disturbed;
  private boolean endedByUpstream;
  private boolean brokenOffAnswer;
  private boolean usedAfterEnd;
  private int requests;

  ScriptedConnection(UpstreamConnectionPool<?> pool, Random random, int maxPieceBytes) {
    this.random = random;
    this.maxPieceBytes = maxPieceBytes;
    connection = new UpstreamConnection(pool, new FakeHeaderCodec());
    channel = new EmbeddedChannel();
    connection.addTo(channel.pipeline());
  }

  UpstreamConnection connection() {
    return connection;
  }

  boolean isOpen() {
    return channel.isActive();
  }

  /** Returns whether the upstream has written anything but the first answers to its requests. */
  boolean isDisturbed() {
    return disturbed;
  }

  /** Returns whether a request was sent although the upstream had ended the connection. */
  boolean isUsedAfterEnd() {
    return usedAfterEnd;
  }

  /** Records that the upstream writes an answer that breaks off. */
  void markBrokenOffAnswer() {
    brokenOffAnswer = true;
  }

  boolean holdsBrokenOffAnswer() {
    return brokenOffAnswer;
  }

  int requests() {
    return requests;
  }

  void send(HttpMethod method, UpstreamResponseListener listener) {
    usedAfterEnd |= endedByUpstream;
    requests++;
    connection.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"), listener);
    channel.releaseOutbound();
  }

  /** Writes bytes once the next request has been sent. */
  void writeAfterNextRequest(byte[] bytes) {
    disturbed = true;
    afterNextRequest = bytes;
  }

  /** Writes bytes behind the answer to the next request. */
  void writeAfterNextAnswer(byte[] bytes) {
    disturbed = true;
    afterNextAnswer = bytes;
  }

  /** Writes bytes of which no request knows. */
  void writeUnasked(byte[] bytes) {
    disturbed = true;
    deliver(bytes, bytes.length);
  }

  /** Writes what was to come between a request and its answer. */
  void startAnswer() {
    byte[] late = afterNextRequest;
    afterNextRequest = new byte[0];
    deliver(late, late.length);
  }

  /** The upstream closes after the next answer, and writes nothing behind it. */
  void dropLateBytes() {
    afterNextAnswer = new byte[0];
  }

  /** Writes an answer and, in the read that has its end, the start of the bytes behind it. */
  void answer(byte[] answer, byte[] sameRead) {
    disturbed |= sameRead.length > 0;
    byte[] late = afterNextAnswer;
    afterNextAnswer = new byte[0];
    int joint = sameRead.length > 0 ? answer.length : -1;
    deliver(concatenate(concatenate(answer, sameRead), late), joint);
  }

  void end(End end) {
    endedByUpstream = true;
    if (channel.isActive()) {
      end.apply(channel);
      channel.runPendingTasks();
    }
  }

  void close() {
    channel.close();
    channel.runPendingTasks();
  }

  /** Hands bytes over in random pieces, none of which ends at the joint. */
  private void deliver(byte[] bytes, int joint) {
    int from = 0;
    while (from < bytes.length && channel.isActive()) {
      int to = Math.min(bytes.length, from + 1 + random.nextInt(maxPieceBytes));
      to = to == joint && to < bytes.length ? to + 1 : to;
      channel.writeInbound(Unpooled.copiedBuffer(bytes, from, to - from));
      channel.runPendingTasks();
      from = to;
    }
  }

  private static byte[] concatenate(byte[] first, byte[] second) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(first);
    all.writeBytes(second);
    return all.toByteArray();
  }
}
