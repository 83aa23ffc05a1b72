package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Predicate;
import org.teaseltrail.wire.http.EmbeddedStatusLine;

/**
 * Finds the head of another answer within the body of one, across the parts in which it arrives.
 *
 * <p>Where a body has no length, or broke off before its end, what an upstream sends next reads as
 * more of it. A text that quotes a status line is no such head: it has to name a request that was
 * sent on the connection.
 */
final class AnswerInBody {

  private static final String STATUS_LINE_START = "HTTP/1.";
  private static final int MAX_LINE_BYTES = 4 * 1024;
  private static final int MAX_LINES = 100;

  /** What a text that begins like a status line is. */
  private enum Reading {
    ANSWER,
    UNDECIDED,
    OTHER_TEXT
  }

  private final HeaderCodec headerCodec;
  private final Predicate<String> isSent;
  private final StringBuilder unread = new StringBuilder();

  /**
   * Creates a finder for the body of one answer.
   *
   * @param isSent whether a request with an id was sent on the connection
   */
  AnswerInBody(HeaderCodec headerCodec, Predicate<String> isSent) {
    this.headerCodec = headerCodec;
    this.isSent = isSent;
  }

  /**
   * Reads the next part of the body.
   *
   * @return the bytes of the part that stand in front of the head of another answer; empty if it
   *     holds none
   */
  OptionalInt bytesInFrontOfAnswer(ByteBuf part) {
    int before = unread.length();
    unread.append(part.toString(StandardCharsets.ISO_8859_1));
    int start = unread.indexOf(STATUS_LINE_START);
    while (start >= 0) {
      Reading reading = readHead(start);
      if (reading == Reading.ANSWER) {
        return OptionalInt.of(Math.max(0, start - before));
      }
      if (reading == Reading.UNDECIDED) {
        unread.delete(0, start);
        return OptionalInt.empty();
      }
      start = unread.indexOf(STATUS_LINE_START, start + 1);
    }
    unread.delete(0, Math.max(0, unread.length() - STATUS_LINE_START.length() + 1));
    return OptionalInt.empty();
  }

  private Reading readHead(int start) {
    DefaultHttpHeaders headers = new DefaultHttpHeaders(false);
    int lineStart = start;
    int lines = 0;
    for (int end = lineEnd(lineStart); end >= 0; end = lineEnd(lineStart)) {
      String line = unread.substring(lineStart, end).stripTrailing();
      boolean isHeadLine = lineStart == start ? isStatusLine(line) : addHeader(headers, line);
      if (!isHeadLine) {
        return Reading.OTHER_TEXT;
      }
      if (requestId(headers).filter(isSent).isPresent()) {
        return Reading.ANSWER;
      }
      lineStart = end + 1;
      lines++;
    }
    boolean isTooLong = unread.length() - lineStart > MAX_LINE_BYTES || lines > MAX_LINES;
    return isTooLong ? Reading.OTHER_TEXT : Reading.UNDECIDED;
  }

  /** Returns where a line ends, -1 if its end isn't among the bytes that a line may have. */
  private int lineEnd(int lineStart) {
    int limit = Math.min(unread.length(), lineStart + MAX_LINE_BYTES);
    for (int i = lineStart; i < limit; i++) {
      if (unread.charAt(i) == '\n') {
        return i;
      }
    }
    return -1;
  }

  private static boolean isStatusLine(String line) {
    OptionalInt status = EmbeddedStatusLine.statusAtEnd(line);
    return status.isPresent() && line.lastIndexOf(STATUS_LINE_START) == 0;
  }

  private static boolean addHeader(DefaultHttpHeaders headers, String line) {
    int colon = line.indexOf(':');
    if (colon > 0) {
      headers.add(line.substring(0, colon), line.substring(colon + 1).strip());
    }
    return colon > 0;
  }

  private Optional<String> requestId(DefaultHttpHeaders headers) {
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers);
    return headerCodec.readResponseHead(head).requestId();
  }
}
