import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/**
 * A sound server of one software version. Answers a stream with 60 events, one each 100 ms, whose
 * data is its version, and goes on after Last-Event-Id.
 */
final class VersionedServer {
  static final int EVENTS = 60;

  public static void main(String[] args) throws Exception {
    ServerSocket listener = new ServerSocket();
    listener.bind(new InetSocketAddress(args[0], Integer.parseInt(args[1])), 500);
    System.out.println("listening");
    while (true) {
      Socket socket = listener.accept();
      new Thread(() -> serve(socket, args[2], args[3])).start();
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void serve(Socket socket, String instance, String version) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
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
        if (line.contains(" /health ")) {
          out.write(
              bytes("HTTP/1.1 200 OK\r\nX-Teaseltrail-Instance-Id: " + instance
                  + "\r\nContent-Length: 0\r\n\r\n"));
          continue;
        }
        String id = headers.get("x-teaseltrail-request-id");
        if (!instance.equals(headers.get("x-teaseltrail-expect-instance"))) {
          out.write(
              bytes("HTTP/1.1 421 Misdirected Request\r\nX-Teaseltrail-Request-Id: " + id
                  + "\r\nContent-Length: 0\r\n\r\n"));
          continue;
        }
        String last = headers.get("last-event-id");
        System.out.println("runs " + id + (last == null ? "" : " after event " + last));
        out.write(
            bytes("HTTP/1.1 200 OK\r\nX-Teaseltrail-Request-Id: " + id
                + "\r\nX-Teaseltrail-Response-Signature: signed." + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
          String event = "id: " + i + "\ndata: " + version + "\n\n";
          out.write(bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
          Thread.sleep(100);
        }
        out.write(bytes("0\r\n\r\n"));
      }
    } catch (Exception e) {
      // The connection has ended, and with it the run.
    }
  }
}
