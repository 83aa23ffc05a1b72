import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** A small HTTP/1.1 client on plain sockets, so that a case sees what a client sees. */
final class Http {
  static final class Answer {
    int status;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    /** Whether the answer is complete by its own framing. */
    boolean complete;

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
      return status + (complete ? " complete" : " cut off") + ", " + body.length + " bytes";
    }
  }

  /** Makes one call on a new connection; null if there is no answer. */
  static Answer call(String address, String method, String path, String body, int timeoutMs) {
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(timeoutMs);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          timeoutMs);
      byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n"
              + (body == null
                  ? ""
                  : "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n")
              + "\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().write(bytes);
      return read(socket.getInputStream());
    } catch (IOException e) {
      return null;
    }
  }

  /** Reads one answer; null if the connection ends before its head is complete. */
  static Answer read(InputStream in) throws IOException {
    String line = line(in);
    if (line == null || !line.startsWith("HTTP/1.1 ")) {
      return null;
    }
    Answer answer = new Answer();
    answer.status = Integer.parseInt(line.substring(9, 12));
    for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      answer.headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    if (line == null) {
      return null;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      if ("chunked".equalsIgnoreCase(answer.header("transfer-encoding"))) {
        answer.complete = chunks(in, body);
      } else if (answer.header("content-length") != null) {
        answer.complete = copy(in, body, Long.parseLong(answer.header("content-length")));
      } else {
        in.transferTo(body);
        answer.complete = true;
      }
    } catch (IOException e) {
      answer.complete = false;
    }
    answer.body = body.toByteArray();
    return answer;
  }

  private static boolean chunks(InputStream in, OutputStream body) throws IOException {
    while (true) {
      String size = line(in);
      if (size == null || size.isEmpty()) {
        return false;
      }
      int length = Integer.parseInt(size.split(";")[0].trim(), 16);
      if (length == 0) {
        return line(in) != null;
      }
      if (!copy(in, body, length) || line(in) == null) {
        return false;
      }
    }
  }

  private static boolean copy(InputStream in, OutputStream body, long length) throws IOException {
    byte[] buffer = new byte[16 * 1024];
    long left = length;
    while (left > 0) {
      int got = in.read(buffer, 0, (int) Math.min(buffer.length, left));
      if (got < 0) {
        return false;
      }
      body.write(buffer, 0, got);
      left -= got;
    }
    return true;
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
    return null;
  }
}
