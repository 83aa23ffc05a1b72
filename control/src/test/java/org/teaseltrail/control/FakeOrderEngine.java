package org.teaseltrail.control;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.teaseltrail.core.upstream.SocketAddress;

/** An engine that answers each order with the bytes that a test chooses. */
final class FakeOrderEngine implements AutoCloseable {

  private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

  /** Answers an order. */
  interface OrderScript {

    /**
     * Answers an order.
     *
     * @param order number of the order at this engine, from one
     * @param usesOfConnection orders that have come over the connection, this one included
     * @param socket socket of the connection
     * @throws IOException if the connection fails
     */
    void answer(int order, int usesOfConnection, Socket socket) throws IOException;
  }

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final OrderScript script;
  private int orders;

  FakeOrderEngine(OrderScript script) throws IOException {
    this.script = script;
    startThread(this::accept);
  }

  SocketAddress address() {
    return new SocketAddress("127.0.0.1", server.getLocalPort());
  }

  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() throws IOException {
    while (!server.isClosed()) {
      Socket socket = server.accept();
      startThread(() -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    int uses = 0;
    while (readOrder(socket.getInputStream())) {
      uses++;
      script.answer(nextOrder(), uses, socket);
    }
    socket.close();
  }

  private synchronized int nextOrder() {
    return ++orders;
  }

  private static boolean readOrder(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return false;
      }
      head.append((char) next);
    }
    Matcher length = LENGTH.matcher(head);
    if (length.find()) {
      in.readNBytes(Integer.parseInt(length.group(1)));
    } else {
      readChunks(in);
    }
    return true;
  }

  private static void readChunks(InputStream in) throws IOException {
    StringBuilder body = new StringBuilder();
    while (body.indexOf("0\r\n\r\n") < 0) {
      body.append((char) in.read());
    }
  }

  /** Task of a thread that runs until its socket is closed. */
  private interface SocketTask {
    void run() throws IOException;
  }

  private static void startThread(SocketTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The thread ends when its socket is closed.
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
