package org.teaseltrail.entry;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.teaseltrail.core.upstream.SocketAddress;

/** A fake engine and plain service that writes the bytes that a test chooses. */
final class ScriptedUpstream implements AutoCloseable {

  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  /** Handles one connection. */
  interface ConnectionScript {

    /**
     * Handles a connection, which stays open afterwards unless the script closes it.
     *
     * @param connection the connection, of which nothing has been read
     * @throws IOException if the connection fails
     */
    void run(Connection connection) throws IOException;
  }

  private final ServerSocket server = new ServerSocket();
  private final List<Connection> connections = new CopyOnWriteArrayList<>();
  private volatile ConnectionScript script;

  ScriptedUpstream() throws IOException {
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    startThread(this::accept);
  }

  SocketAddress address() {
    return new SocketAddress("127.0.0.1", server.getLocalPort());
  }

  void respondWith(ConnectionScript next) {
    script = next;
  }

  /** Returns the latest connection. */
  Connection latest() {
    return connections.get(connections.size() - 1);
  }

  private void accept() throws IOException {
    while (!server.isClosed()) {
      Connection connection = new Connection(server.accept());
      connections.add(connection);
      startThread(() -> script.run(connection));
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Connection connection : connections) {
      connection.socket.close();
    }
  }

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

  /** One connection to the upstream. */
  static final class Connection {

    private final Socket socket;

    Connection(Socket socket) {
      this.socket = socket;
    }

    /** Reads the head of a request. */
    String readHead() throws IOException {
      InputStream in = socket.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = in.read();
        if (next < 0) {
          throw new IOException("the connection ended before the head of a request");
        }
        head.append((char) next);
      }
      return head.toString();
    }

    /** Reads a request with its body and returns its head. */
    String readRequest() throws IOException {
      String head = readHead();
      String length = HttpText.header(head, "Content-Length").orElse("0");
      socket.getInputStream().readNBytes(Integer.parseInt(length));
      return head;
    }

    /** Reads a part of the body of a request. */
    void skip(int bytes) throws IOException {
      socket.getInputStream().skipNBytes(bytes);
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void close() throws IOException {
      socket.close();
    }

    /** Closes the connection by a reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    /** Returns whether the other side closed the connection; waits until it does. */
    boolean awaitClosedByPeer() {
      try {
        socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        return true;
      } catch (IOException reset) {
        return true;
      }
    }
  }
}
