package org.teaseltrail.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;

/** Decodes the answers on a connection, and tells which received bytes are part of none so far. */
public final class AnswerDecoder extends HttpResponseDecoder {

  private static final String TOO_MANY = "too many headers";

  private static final byte LINE_END = '\n';
  private static final byte CARRIAGE_RETURN = '\r';

  /**
   * Maximum number of headers of an answer. Short headers take many times their bytes in memory, so
   * that a limit in bytes alone bounds little.
   */
  private static final int MAX_HEADERS = 256;

  private HttpMethod method = HttpMethod.GET;
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

  /** Counts the lines of a head that the base class takes before the head is whole. */
  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    int from = in.readerIndex();
    int decoded = out.size();
    super.decode(context, in, out);
    if (out.size() > decoded) {
      takenBytes = 0;
      takenLines = 0;
      out.subList(decoded, out.size()).forEach(AnswerDecoder::limitHeaders);
    } else {
      takenBytes += textBytes(in, from, in.readerIndex());
      takenLines += lines(in, from, in.readerIndex());
      if (takenLines > MAX_HEADERS) {
        out.add(tooManyHeaders());
      }
    }
  }

  private static void limitHeaders(Object message) {
    if (message instanceof HttpMessage head && head.headers().size() > MAX_HEADERS) {
      head.setDecoderResult(DecoderResult.failure(new TooLongHttpHeaderException(TOO_MANY)));
    }
  }

  private static HttpResponse tooManyHeaders() {
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
    head.setDecoderResult(DecoderResult.failure(new TooLongHttpHeaderException(TOO_MANY)));
    return head;
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
