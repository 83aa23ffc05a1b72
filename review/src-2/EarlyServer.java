import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/**
 * A server that begins its answer before it has read a long body, keeps the connection and reads on
 * later. Its answer has no length and ends with its connection. It reads slowly: a part of the body
 * every 20 ms. Its whole answer is WHOLE bytes long, and it closes the connection only after it has
 * read the whole body and sent the whole answer.
 */
final class EarlyServer {
  static final int WHOLE = 200_000;
  static final int PART = 8_000;

  /** The byte at a position of the answer to a request. */
  static byte byteAt(String id, int position) {
    return (byte) ('a' + (id.hashCode() % 13 + 13 + position) % 26);
  }

  public static void main(String[] args) throws Exception {
    String instance = args[2];
    ServerSocket listener = new ServerSocket();
    // The small windows of DEPLOY.md: a server that does not read blocks the sender.
    listener.setReceiveBufferSize(8 * 1024);
    listener.bind(new InetSocketAddress(args[0], Integer.parseInt(args[1])));
    System.out.println("listening");
    while (true) {
      Socket socket = listener.accept();
      Thread thread = new Thread(() -> serve(socket, instance));
      thread.start();
    }
  }

  private static void serve(Socket socket, String instance) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream(), 4096);
      OutputStream out = socket.getOutputStream();
      String line = Http.line(in);
      if (line == null) {
        return;
      }
      Map<String, String> headers = new HashMap<>();
      for (String next = Http.line(in); next != null && !next.isEmpty(); next = Http.line(in)) {
        int colon = next.indexOf(':');
        headers.put(
            next.substring(0, colon).trim().toLowerCase(Locale.ROOT),
            next.substring(colon + 1).trim());
      }
      if (line.startsWith("GET ")) {
        out.write(
            ("HTTP/1.1 200 OK\r\nX-Teaseltrail-Instance-Id: " + instance
                    + "\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        return;
      }
      String id = headers.get("x-teaseltrail-request-id");
      long left = Long.parseLong(headers.get("content-length"));
      System.out.println("runs " + id);
      out.write(
          ("HTTP/1.1 200 OK\r\nX-Teaseltrail-Request-Id: " + id
                  + "\r\nX-Teaseltrail-Response-Signature: signed." + id
                  + "\r\nConnection: close\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      byte[] buffer = new byte[16 * 1024];
      int sent = 0;
      while (sent < WHOLE || left > 0) {
        int got = left > 0 ? in.read(buffer, 0, (int) Math.min(buffer.length, left)) : 0;
        if (got < 0) {
          return;
        }
        left -= got;
        byte[] part = new byte[Math.min(PART, WHOLE - sent)];
        for (int i = 0; i < part.length; i++) {
          part[i] = byteAt(id, sent + i);
        }
        out.write(part);
        sent += part.length;
        Thread.sleep(20);
      }
      socket.shutdownOutput();
      System.out.println("whole " + id);
    } catch (Exception e) {
      System.out.println("broken off " + e);
    }
  }
}
