package org.teaseltrail.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
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
import java.util.concurrent.TimeUnit;
import reactor.netty.NettyPipeline;

/**
 * Decodes the answers on a connection, and says whether each is whole and well-formed. All daemons
 * read answers by this class.
 *
 * <p>An answer that isn't is passed on as a message whose {@link HttpObject#decoderResult()} is a
 * failure, and nothing is decoded after it. That is one that breaks the grammar ({@link
 * AnswerSyntax}), whose framing isn't known ({@link AnswerFraming}), or that has too many headers.
 * An answer that ends with its connection is whole only if the peer has closed it in order after
 * the request was written. In all other cases there may have been more to come: a reset that a
 * write has met is an ordinary end to the read behind it.
 */
public final class AnswerDecoder extends HttpResponseDecoder {

  private static final byte LINE_END = '\n';
  private static final byte CARRIAGE_RETURN = '\r';

  /**
   * Maximum number of headers of an answer. Short headers take many times their bytes in memory, so
   * that a limit in bytes alone bounds little.
   */
  private static final int MAX_HEADERS = 256;

  /** Time after the end of a connection in which its reset shows; data centres are near. */
  private static final long RESET_WAIT_MS = 10;

  private final AnswerSyntax syntax = new AnswerSyntax();
  private final ResetProbe resetProbe;
  private HttpMethod method = HttpMethod.GET;
  private boolean requestHasBody;
  private boolean requestWritten;
  private boolean headDecoded;
  private boolean endsWithConnection;
  private boolean broken;
  private int takenBytes;
  private int takenLines;

  /**
   * Creates a decoder for one connection, on which a {@link RequestEncoder} writes the requests.
   *
   * @param config the limits of heads
   */
  public AnswerDecoder(HttpDecoderConfig config) {
    this(config, new TcpStateProbe());
  }

  AnswerDecoder(HttpDecoderConfig config, ResetProbe resetProbe) {
    super(config);
    this.resetProbe = resetProbe;
  }

  /**
   * Reads the answers of a connection of Reactor Netty's client by this decoder in place of its
   * own.
   *
   * @param pipeline pipeline of the connection, to which nothing has been written yet
   * @param config the limits of heads
   */
  public static void replaceCodecOf(ChannelPipeline pipeline, HttpDecoderConfig config) {
    AnswerDecoder decoder = new AnswerDecoder(config);
    pipeline.addBefore(NettyPipeline.HttpCodec, null, new RequestEncoder(decoder));
    pipeline.replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, decoder);
  }

  /** Notes that a request is sent now; the framing of its answer depends on its method. */
  void onRequest(HttpMethod next) {
    method = next;
    requestHasBody = false;
    requestWritten = false;
  }

  /** Notes that the request has a body. */
  void onRequestBody() {
    requestHasBody = true;
  }

  /** Notes that all of the request has been written. */
  void onRequestWritten() {
    requestWritten = true;
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
      endsWithConnection = AnswerFraming.endsWithConnection(head, method);
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

  /** Holds the end of the connection back where a reset that follows it would show. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    boolean mayBeReset =
        event instanceof ChannelInputShutdownEvent
            && headDecoded
            && endsWithConnection
            && requestHasBody
            && requestWritten
            && resetProbe.canTell(context.channel());
    if (mayBeReset) {
      context
          .executor()
          .schedule(() -> passEndOn(context, event), RESET_WAIT_MS, TimeUnit.MILLISECONDS);
    } else {
      super.userEventTriggered(context, event);
    }
  }

  private void passEndOn(ChannelHandlerContext context, Object event) {
    try {
      if (context.channel().isActive()) {
        super.userEventTriggered(context, event);
      }
    } catch (Exception e) {
      context.fireExceptionCaught(e);
    }
  }

  /** Decodes what is left when the connection has ended; only then an end may be no end. */
  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (broken) {
      in.skipBytes(in.readableBytes());
      return;
    }
    int decoded = out.size();
    super.decodeLast(context, in, out);
    boolean isEnd = out.size() > decoded && out.get(out.size() - 1) instanceof LastHttpContent;
    if (isEnd && endsWithConnection && !isClosedInOrder(context.channel())) {
      breakOff(
          out, decoded, new PrematureChannelClosureException("the connection failed in an answer"));
    }
  }

  /**
   * Returns whether the peer alone has ended the connection, which then is still open here, and has
   * taken all of the request. A reset behind an orderly end shows that it has left some of the body
   * unread, so that the end may be that of its process.
   */
  private boolean isClosedInOrder(Channel channel) {
    return channel.isActive() && requestWritten && !(requestHasBody && resetProbe.isReset(channel));
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
