import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound server of the pages: announces itself, answers its health path, refuses with 421 what is
 * meant for another server, and runs everything else.
 */
final class FakeServer implements AutoCloseable {

  /** One request as the server received it. */
  static final class Request {
    String method;
    String path;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = {};

    String id() {
      return headers.getOrDefault("x-teaseltrail-request-id", "");
    }
  }

  /** Runs a request and writes its answer. */
  interface Work {
    void run(Request request, OutputStream out) throws IOException;
  }

  final Lab lab;
  final String id;
  final String service;
  final String ip;
  final int slots;
  final AtomicInteger ran = new AtomicInteger();
  volatile Work work;
  volatile String state = "ready";
  private final ServerSocket listener;
  private final long born = System.currentTimeMillis();
  private volatile boolean closed;
  private long sequence;

  FakeServer(Lab lab, String id, String service, int number, int slots, Work work) throws IOException {
    this.lab = lab;
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.work = work;
    ip = Lab.NET + "3." + number;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 200);
    start("accept", this::accept);
    start("beats", this::beats);
  }

  String address() {
    return ip + ":" + listener.getLocalPort();
  }

  private static void start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void beats() {
    while (!closed) {
      beat();
      Lab.sleep(1_200);
    }
  }

  /** Says once that it is there; returns the answer. */
  synchronized Lab.Answer beat() {
    sequence++;
    String body =
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":%d,"
                .formatted(service, address(), slots)
            + "\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":%d,\"born\":%d}"
                .formatted(state, sequence, born);
    return lab.operator("PUT", "/v1/instances/" + id, body.getBytes(StandardCharsets.UTF_8), 1_000);
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        start("connection", () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Request request = read(in);
        if (request == null) {
          return;
        }
        if (request.path.equals("/health")) {
          out.write(
              ("HTTP/1.1 200 OK\r\nX-Teaseltrail-Instance-Id: " + id
                      + "\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
        } else if (!id.equals(request.headers.getOrDefault("x-teaseltrail-expect-instance", id))) {
          out.write(head("421 Misdirected Request", request, "Content-Length: 0\r\n"));
        } else {
          ran.incrementAndGet();
          work.run(request, out);
        }
        out.flush();
      }
    } catch (IOException e) {
      // The caller has gone.
    }
  }

  /** Returns the head of an answer of this server, signed. */
  static byte[] head(String status, Request request, String more) {
    return ("HTTP/1.1 " + status + "\r\nX-Teaseltrail-Request-Id: " + request.id()
            + "\r\nX-Teaseltrail-Response-Signature: 3e1b." + request.id() + "\r\n" + more + "\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Work that takes some time and is answered with a body of some bytes. */
  static Work plain(long ms, int bytes) {
    return (request, out) -> {
      Lab.sleep(ms);
      byte[] body = new byte[bytes];
      for (int i = 0; i < bytes; i++) {
        body[i] = (byte) ('a' + i % 26);
      }
      out.write(head("200 OK", request, "Content-Length: " + bytes + "\r\n"));
      out.write(body);
    };
  }

  private static Request read(InputStream in) throws IOException {
    String head = Lab.readHead(in);
    if (head == null || head.isEmpty()) {
      return null;
    }
    String[] lines = head.split("\r\n");
    Request request = new Request();
    request.method = lines[0].split(" ")[0];
    request.path = lines[0].split(" ")[1];
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      request.headers.put(
          lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
    }
    int length = Integer.parseInt(request.headers.getOrDefault("content-length", "0"));
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    byte[] buffer = new byte[8192];
    while (body.size() < length) {
      int got = in.read(buffer, 0, Math.min(buffer.length, length - body.size()));
      if (got < 0) {
        return null;
      }
      body.write(buffer, 0, got);
    }
    request.body = body.toByteArray();
    return request;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
  }
}
