package org.teaseltrail.wire.http;

import io.netty.buffer.ByteBuf;
import java.util.regex.Pattern;

/**
 * Tells whether the lines of the answers on a connection keep to the grammar of HTTP/1 (RFC 9112).
 *
 * <p>Netty's decoder takes more than the grammar allows: it reads a signed number as a status, ends
 * the name of a field at a blank, joins folded lines and skips what stands behind a chunk's size.
 * What it makes of such an answer looks whole. The bytes are read here as far as the decoder has
 * taken them.
 */
final class AnswerSyntax {

  private static final String STATUS_LINE_START = "HTTP/1.";
  private static final String CARRIAGE_RETURN = "\r";
  private static final byte LINE_END = '\n';
  private static final int BYTE_MASK = 0xff;
  private static final int HEXADECIMAL = 16;

  private final StringBuilder line = new StringBuilder();
  private Place place = Place.STATUS_LINE;
  private long chunkBytes;

  /** What is read next. */
  private enum Place {
    STATUS_LINE {
      @Override
      Place after(String line) {
        // Line ends may stand between two answers.
        return line.isEmpty() ? STATUS_LINE : nextIf(Grammar.STATUS_LINE, line, FIELD);
      }
    },
    FIELD {
      @Override
      Place after(String line) {
        return line.isEmpty() ? BODY : nextIf(Grammar.FIELD_LINE, line, FIELD);
      }
    },
    CHUNK_SIZE {
      @Override
      Place after(String line) {
        return nextIf(Grammar.CHUNK_SIZE, line, CHUNK_END);
      }
    },
    CHUNK_END {
      @Override
      Place after(String line) {
        return line.isEmpty() ? CHUNK_SIZE : MALFORMED;
      }
    },
    TRAILER {
      @Override
      Place after(String line) {
        return line.isEmpty() ? BODY : nextIf(Grammar.FIELD_LINE, line, TRAILER);
      }
    },
    /** A body without chunks, whose bytes mean nothing here. */
    BODY {
      @Override
      Place after(String line) {
        return BODY;
      }
    },
    MALFORMED {
      @Override
      Place after(String line) {
        return MALFORMED;
      }
    };

    /** Returns what follows a line at this place. */
    abstract Place after(String line);

    private static Place nextIf(Pattern grammar, String line, Place next) {
      return grammar.matcher(line).matches() ? next : MALFORMED;
    }
  }

  /** The lines that HTTP/1 knows, without their line ends. */
  private static final class Grammar {

    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
    private static final String TOKEN = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+";
    private static final String CHUNK_EXTENSION = "[ \\t]*(?:;" + TEXT + ")?";

    private static final Pattern STATUS_LINE =
        Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?: " + TEXT + ")?");
    private static final Pattern FIELD_LINE = Pattern.compile(TOKEN + ":" + TEXT);
    private static final Pattern CHUNK_SIZE =
        Pattern.compile("[0-9A-Fa-f]{1,15}" + CHUNK_EXTENSION);
  }

  /** Expects the head of an answer next. */
  void startHead() {
    moveTo(Place.STATUS_LINE);
  }

  /** Expects the body of an answer next. */
  void startBody(boolean isChunked) {
    moveTo(isChunked ? Place.CHUNK_SIZE : Place.BODY);
  }

  private void moveTo(Place next) {
    if (!isMalformed()) {
      place = next;
    }
  }

  boolean isMalformed() {
    return place == Place.MALFORMED;
  }

  /**
   * Reads the bytes that follow those read before.
   *
   * @param in the buffer that holds them, which isn't changed
   * @param from index of the first byte
   * @param to index behind the last byte
   */
  void read(ByteBuf in, int from, int to) {
    int at = from;
    while (at < to && place != Place.BODY && !isMalformed()) {
      if (chunkBytes > 0) {
        int skippedBytes = (int) Math.min(chunkBytes, to - at);
        chunkBytes -= skippedBytes;
        at += skippedBytes;
      } else {
        readByte(in.getByte(at));
        at++;
      }
    }
  }

  private void readByte(byte next) {
    if (next == LINE_END) {
      endLine();
      return;
    }
    line.append((char) (next & BYTE_MASK));
    if (place == Place.STATUS_LINE && !mayBecomeStatusLine()) {
      place = Place.MALFORMED;
    }
  }

  /** The decoder skips any number of blanks and control bytes before a status line. */
  private boolean mayBecomeStatusLine() {
    return line.length() > STATUS_LINE_START.length()
        || STATUS_LINE_START.startsWith(line.toString())
        || CARRIAGE_RETURN.contentEquals(line);
  }

  private void endLine() {
    int length = line.length();
    boolean endsWithReturn = length > 0 && line.charAt(length - 1) == CARRIAGE_RETURN.charAt(0);
    String text = line.substring(0, endsWithReturn ? length - 1 : length);
    line.setLength(0);
    final Place before = place;
    place = place.after(text);
    if (before == Place.CHUNK_SIZE && place == Place.CHUNK_END) {
      chunkBytes = chunkBytes(text);
      place = chunkBytes == 0 ? Place.TRAILER : Place.CHUNK_END;
    }
  }

  private static long chunkBytes(String sizeLine) {
    int end = 0;
    while (end < sizeLine.length() && Character.digit(sizeLine.charAt(end), HEXADECIMAL) >= 0) {
      end++;
    }
    return Long.parseLong(sizeLine.substring(0, end), HEXADECIMAL);
  }
}
