package org.teaseltrail.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A call to the entry VM over a connection of its own, which shows how its answer is framed. */
final class RawCall implements AutoCloseable {

  private static final int READ_TIMEOUT_MS = 20_000;
  private static final String HEAD_END = "\r\n\r\n";

  private final Socket socket;
  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private boolean reset;

  private RawCall(Socket socket) {
    this.socket = socket;
  }

  /**
   * Sends a POST request.
   *
   * @param port port of the entry VM
   * @param version version of HTTP, such as 1.1
   * @param path path of the request
   * @param body its body
   */
  static RawCall post(int port, String version, String path, String body) throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    String head =
        "POST "
            + path
            + " HTTP/"
            + version
            + "\r\nHost: vm\r\nConnection: close\r\nAuthorization: Bearer "
            + EntryTestEnvironment.KEY
            + "\r\nIdempotency-Key: k-"
            + socket.getLocalPort()
            + "-"
            + System.nanoTime()
            + "\r\nContent-Length: "
            + body.length()
            + HEAD_END;
    socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
    return new RawCall(socket);
  }

  /** Reads until the answer holds a text or ends. */
  RawCall readUntil(String text) throws IOException {
    InputStream in = socket.getInputStream();
    while (!text().contains(text)) {
      if (!readByte(in)) {
        break;
      }
    }
    return this;
  }

  /** Reads to the end of the connection. */
  RawCall readAll() throws IOException {
    InputStream in = socket.getInputStream();
    while (readByte(in)) {
      continue;
    }
    return this;
  }

  private boolean readByte(InputStream in) throws IOException {
    try {
      int next = in.read();
      if (next >= 0) {
        received.write(next);
      }
      return next >= 0;
    } catch (SocketException e) {
      reset = true;
      return false;
    }
  }

  String text() {
    return received.toString(StandardCharsets.ISO_8859_1);
  }

  /** Returns the status; zero if the connection ended before it. */
  int status() {
    String text = text();
    return text.length() < 12 ? 0 : Integer.parseInt(text.substring(9, 12));
  }

  /** Returns whether a caller takes the answer for a complete success. */
  boolean isWholeSuccess() {
    return status() / 100 == 2 && body().isPresent();
  }

  /** Returns the body, or empty if the framing shows that it is incomplete. */
  Optional<String> body() {
    int headEnd = text().indexOf(HEAD_END);
    if (headEnd < 0) {
      return Optional.empty();
    }
    String head = text().substring(0, headEnd + 2);
    String rest = text().substring(headEnd + HEAD_END.length());
    if (HttpText.header(head, "Transfer-Encoding").isPresent()) {
      return chunks(rest);
    }
    Optional<String> length = HttpText.header(head, "Content-Length");
    if (length.isPresent()) {
      return Optional.of(rest).filter(body -> body.length() == Integer.parseInt(length.get()));
    }
    return Optional.of(rest).filter(body -> !reset);
  }

  private static Optional<String> chunks(String text) {
    StringBuilder body = new StringBuilder();
    int at = 0;
    while (text.indexOf("\r\n", at) >= 0) {
      int lineEnd = text.indexOf("\r\n", at);
      int size = Integer.parseInt(text.substring(at, lineEnd), 16);
      at = lineEnd + 2;
      if (size == 0) {
        return Optional.of(body.toString()).filter(whole -> text.endsWith(HEAD_END));
      }
      if (at + size > text.length()) {
        return Optional.empty();
      }
      body.append(text, at, at + size);
      at += size + 2;
    }
    return Optional.empty();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
