package org.teaseltrail.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Decodes the answers on a connection, and says whether each is whole and well-formed.
 *
 * <p>An answer that isn't is passed on as a message whose {@link HttpObject#decoderResult()} is a
 * failure, and nothing is decoded after it. That is one that breaks the grammar ({@link
 * AnswerSyntax}), whose framing isn't known ({@link AnswerFraming}), or that has too many headers.
 */
public final class AnswerDecoder extends HttpResponseDecoder {

  private static final byte LINE_END = '\n';
  private static final byte CARRIAGE_RETURN = '\r';

  /**
   * Maximum number of headers of an answer. Short headers take many times their bytes in memory, so
   * that a limit in bytes alone bounds little.
   */
  private static final int MAX_HEADERS = 256;

  private final AnswerSyntax syntax = new AnswerSyntax();
  private HttpMethod method = HttpMethod.GET;
  private boolean headDecoded;
  private boolean broken;
  private int takenBytes;
  private int takenLines;

  /**
   * Creates a decoder for one connection.
   *
   * @param config the limits of heads
   */
  public AnswerDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /** Sets the method of the request that is sent now; the framing of its answer depends on it. */
  public void setMethod(HttpMethod next) {
    method = next;
  }

  /** Returns the method of the request that was sent last. */
  public HttpMethod method() {
    return method;
  }

  /** Returns the number of bytes that were received and don't make a whole part of an answer. */
  public int undecodedBytes() {
    return takenBytes + actualReadableBytes();
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (broken) {
      in.skipBytes(in.readableBytes());
      return;
    }
    int from = in.readerIndex();
    int decoded = out.size();
    super.decode(context, in, out);
    syntax.read(in, from, in.readerIndex());
    countTaken(in, from, out.size() > decoded);
    if (syntax.isMalformed()) {
      breakOff(out, decoded, new MalformedAnswerException("a line breaks the grammar of HTTP/1"));
    } else if (takenLines > MAX_HEADERS) {
      breakOff(out, decoded, new TooLongHttpHeaderException("too many headers"));
    } else {
      follow(out, decoded);
    }
  }

  /** Counts the bytes and lines of a head that the base class takes before the head is whole. */
  private void countTaken(ByteBuf in, int from, boolean isPartDecoded) {
    int to = in.readerIndex();
    takenBytes = isPartDecoded ? 0 : takenBytes + textBytes(in, from, to);
    takenLines = isPartDecoded ? 0 : takenLines + lines(in, from, to);
  }

  private void follow(List<Object> out, int decoded) {
    for (int i = decoded; i < out.size() && !broken; i++) {
      broken = ((HttpObject) out.get(i)).decoderResult().isFailure();
      if (!broken && out.get(i) instanceof HttpResponse head) {
        followHead(head, out, i);
      }
      if (!broken && out.get(i) instanceof LastHttpContent) {
        headDecoded = false;
        syntax.startHead();
      }
    }
  }

  private void followHead(HttpResponse head, List<Object> out, int index) {
    if (head.headers().size() > MAX_HEADERS) {
      breakOff(out, index, new TooLongHttpHeaderException("too many headers"));
    } else if (!AnswerFraming.isKnown(head)) {
      breakOff(out, index, new MalformedAnswerException("the transfer coding isn't known"));
    } else {
      headDecoded = true;
      syntax.startBody(HttpUtil.isTransferEncodingChunked(head));
    }
  }

  /** Puts a failure in the place of what was decoded from an index on. */
  private void breakOff(List<Object> out, int from, Exception cause) {
    drop(out, from);
    HttpObject failure =
        headDecoded
            ? new DefaultLastHttpContent()
            : new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
    failure.setDecoderResult(DecoderResult.failure(cause));
    out.add(failure);
    broken = true;
  }

  private static void drop(List<Object> out, int from) {
    List<Object> dropped = out.subList(from, out.size());
    dropped.forEach(ReferenceCountUtil::release);
    dropped.clear();
  }

  private static int lines(ByteBuf in, int from, int to) {
    int count = 0;
    for (int i = from; i < to; i++) {
      count += in.getByte(i) == LINE_END ? 1 : 0;
    }
    return count;
  }

  /** Counts bytes without those of line ends, which may stand between two answers. */
  private static int textBytes(ByteBuf in, int from, int to) {
    int count = 0;
    for (int i = from; i < to; i++) {
      byte next = in.getByte(i);
      if (next != LINE_END && next != CARRIAGE_RETURN) {
        count++;
      }
    }
    return count;
  }

  /** Returns whether an answer makes the connection one that carries no HTTP any more. */
  public boolean endsHttp(HttpResponse response) {
    boolean isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS;
    return response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
        || (isSuccess && method.equals(HttpMethod.CONNECT));
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean isFinal =
        ((HttpResponse) message).status().codeClass() != HttpStatusClass.INFORMATIONAL;
    return (isFinal && method.equals(HttpMethod.HEAD)) || super.isContentAlwaysEmpty(message);
  }
}
