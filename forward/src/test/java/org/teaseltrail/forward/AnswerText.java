package org.teaseltrail.forward;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * An answer as an upstream writes it.
 *
 * @param status its status
 * @param ids ids of requests that its head contains
 * @param mark names this answer in a header and in its body, so that no two answers are equal
 * @param framing how it is framed
 * @param hasBody whether it has a body; an answer to {@code HEAD} has none
 */
record AnswerText(Status status, List<String> ids, String mark, Framing framing, boolean hasBody) {

  static final String MARK = "Answer";

  private static final String LINE_END = "\r\n";

  /** Status line and headers of an answer. */
  enum Status {
    STREAM(200, "HTTP/%s 200 OK", "Content-Type: text/event-stream\r\n"),
    SUCCESS(200, "HTTP/%s 200 OK", "Content-Type: text/plain\r\n"),
    FAILURE(500, "HTTP/%s 500 Internal Server Error", ""),
    UNAVAILABLE(503, "HTTP/%s 503 Service Unavailable", ""),
    NOT_RUN(503, "HTTP/%s 503 Service Unavailable", "Not-Run: yes\r\n");

    private final int code;
    private final String statusLine;
    private final String headers;

    Status(int code, String statusLine, String headers) {
      this.code = code;
      this.statusLine = statusLine;
      this.headers = headers;
    }

    /** Returns a status of another class. */
    Status other() {
      return code == SUCCESS.code ? FAILURE : SUCCESS;
    }
  }

  /** How an upstream tells where its answer ends. */
  enum Framing {
    LENGTH("1.1", false) {
      @Override
      String headers(String body) {
        return lengthHeader(body);
      }
    },
    CHUNKS("1.1", false) {
      @Override
      String headers(String body) {
        return "Transfer-Encoding: chunked\r\n";
      }

      @Override
      String frame(String body) {
        int half = body.length() / 2;
        return chunk(body.substring(0, half)) + chunk(body.substring(half)) + "0\r\n\r\n";
      }
    },
    CONNECTION_END("1.1", true) {
      @Override
      String headers(String body) {
        return "";
      }
    },
    HTTP_1_0("1.0", true) {
      @Override
      String headers(String body) {
        return "";
      }
    },
    HTTP_1_0_LENGTH("1.0", true) {
      @Override
      String headers(String body) {
        return lengthHeader(body);
      }
    },
    HTTP_1_0_KEEP_ALIVE("1.0", false) {
      @Override
      String headers(String body) {
        return "Connection: keep-alive\r\n" + lengthHeader(body);
      }
    };

    private final String version;
    private final boolean closes;

    Framing(String version, boolean closes) {
      this.version = version;
      this.closes = closes;
    }

    abstract String headers(String body);

    String frame(String body) {
      return body;
    }

    /** Returns whether the upstream closes the connection after the answer. */
    boolean closes() {
      return closes;
    }

    private static String lengthHeader(String body) {
      return "Content-Length: " + body.length() + LINE_END;
    }

    private static String chunk(String part) {
      return Integer.toHexString(part.length()) + LINE_END + part + LINE_END;
    }
  }

  /** Returns the bytes that the upstream writes. */
  byte[] bytes() {
    String body = hasBody ? framing.frame(body()) : "";
    return (head() + body).getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Returns the head with its empty line. */
  String head() {
    StringBuilder head = new StringBuilder(statusLine()).append(LINE_END);
    head.append(status.headers);
    ids.forEach(id -> head.append(FakeHeaderCodec.REQUEST_ID + ": ").append(id).append(LINE_END));
    head.append(MARK + ": ").append(mark).append(LINE_END);
    return head.append(framing.headers(body())).append(LINE_END).toString();
  }

  /** Returns whether only the end of the connection ends the answer. */
  boolean endsWithConnection() {
    return hasBody && (framing == Framing.CONNECTION_END || framing == Framing.HTTP_1_0);
  }

  String statusLine() {
    return status.statusLine.formatted(framing.version);
  }

  /** Returns what a listener has received of the whole answer. */
  String received() {
    return status.code + " " + mark + " " + (hasBody ? body() : "");
  }

  private String body() {
    return "body of " + mark;
  }
}
