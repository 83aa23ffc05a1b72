package org.teaseltrail.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
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

  /**
   * Maximum number of headers of an answer. Short headers take many times their bytes in memory, so
   * that a limit in bytes alone bounds little.
   */
  private static final int MAX_HEADERS = 256;

  private final AnswerSyntax syntax = new AnswerSyntax();
  private final ResetProbe resetProbe;
  private final RequestProgress request = new RequestProgress();
  private final UndecodedBytes undecoded = new UndecodedBytes();
  private boolean headDecoded;
  private boolean endsWithConnection;
  private boolean broken;

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

  /** Returns what has been written of the latest request, for whoever writes it. */
  RequestProgress request() {
    return request;
  }

  /** Returns the method of the request that was sent last. */
  public HttpMethod method() {
    return request.method();
  }

  /** Returns the number of bytes that were received and don't make a whole part of an answer. */
  public int undecodedBytes() {
    return undecoded.textBytes() + actualReadableBytes();
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (broken) {
      in.skipBytes(in.readableBytes());
      return;
    }
    final int from = in.readerIndex();
    final int decoded = out.size();
    super.decode(context, in, out);
    syntax.read(in, from, in.readerIndex());
    if (out.size() > decoded) {
      undecoded.clear();
    } else {
      undecoded.add(in, from, in.readerIndex());
    }
    if (syntax.isMalformed()) {
      breakOff(out, decoded, new MalformedAnswerException("a line breaks the grammar of HTTP/1"));
    } else if (undecoded.lines() > MAX_HEADERS) {
      breakOff(out, decoded, new TooLongHttpHeaderException("too many headers"));
    } else {
      follow(out, decoded);
    }
  }

  private void follow(List<Object> out, int decoded) {
    for (int i = decoded; i < out.size() && !broken; i++) {
      broken = out.get(i) instanceof HttpObject message && message.decoderResult().isFailure();
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
      endsWithConnection = AnswerFraming.endsWithConnection(head, request.method());
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
    return channel.isActive()
        && request.isWritten()
        && !(request.hasBody() && resetProbe.isReset(channel));
  }

  /** Returns whether an answer makes the connection one that carries no HTTP any more. */
  public boolean endsHttp(HttpResponse response) {
    boolean isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS;
    return response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
        || (isSuccess && request.method().equals(HttpMethod.CONNECT));
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean isFinal =
        ((HttpResponse) message).status().codeClass() != HttpStatusClass.INFORMATIONAL;
    return (isFinal && request.method().equals(HttpMethod.HEAD))
        || super.isContentAlwaysEmpty(message);
  }
}
