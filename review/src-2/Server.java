import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A sound server: runs a request for as long as its query says (ms), and answers with as many bytes
 * as it says (bytes). Tells on its output what it runs.
 */
final class Server {
  static byte byteAt(String id, int position) {
    return (byte) ('a' + (id.hashCode() % 13 + 13 + position) % 26);
  }

  static boolean isWhole(String id, byte[] body, int bytes) {
    boolean whole = body.length == bytes;
    for (int i = 0; i < body.length && whole; i++) {
      whole = body[i] == byteAt(id, i);
    }
    return whole;
  }

  public static void main(String[] args) throws Exception {
    String instance = args[2];
    ServerSocket listener = new ServerSocket();
    listener.bind(new InetSocketAddress(args[0], Integer.parseInt(args[1])), 1000);
    System.out.println("listening");
    while (true) {
      Socket socket = listener.accept();
      new Thread(() -> serve(socket, instance)).start();
    }
  }

  private static void serve(Socket socket, String instance) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
      OutputStream out = socket.getOutputStream();
      while (true) {
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
        in.skipNBytes(Long.parseLong(headers.getOrDefault("content-length", "0")));
        String target = line.split(" ")[1];
        if (target.equals("/health")) {
          out.write(
              ("HTTP/1.1 200 OK\r\nX-Teaseltrail-Instance-Id: " + instance
                      + "\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
          continue;
        }
        String id = headers.get("x-teaseltrail-request-id");
        if (!instance.equals(headers.get("x-teaseltrail-expect-instance"))) {
          out.write(
              ("HTTP/1.1 421 Misdirected Request\r\nX-Teaseltrail-Request-Id: " + id
                      + "\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
          continue;
        }
        System.out.println(
            "runs " + id + " of " + headers.getOrDefault("x-teaseltrail-tenant", "nobody"));
        Thread.sleep(number(target, "ms"));
        int bytes = number(target, "bytes");
        byte[] body = new byte[bytes];
        for (int i = 0; i < bytes; i++) {
          body[i] = byteAt(id, i);
        }
        out.write(
            ("HTTP/1.1 200 OK\r\nX-Teaseltrail-Request-Id: " + id
                    + "\r\nX-Teaseltrail-Response-Signature: signed." + id
                    + "\r\nContent-Length: " + bytes + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        System.out.println("answered " + id);
      }
    } catch (Exception e) {
      System.out.println("connection ended: " + e);
    }
  }

  private static int number(String target, String name) {
    for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
      if (part.startsWith(name + "=")) {
        return Integer.parseInt(part.substring(name.length() + 1));
      }
    }
    return 0;
  }
}
