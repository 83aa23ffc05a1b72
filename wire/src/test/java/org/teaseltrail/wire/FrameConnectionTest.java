package org.teaseltrail.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.teaseltrail.core.upstream.SocketAddress;

@SuppressWarnings("try")
@Timeout(30)
class FrameConnectionTest {

  private static final String HOST = "127.0.0.1";
  private static final FrameLimits LIMITS = new FrameLimits(100_000, 1_000_000, 5_000, 1_000);
  private static final FrameLimits SHORT_TIMEOUT_LIMITS =
      new FrameLimits(100_000, 1_000_000, 90, 1_000);

  private final MessageCodec codec = new MessageCodec();
  private final RecordingListener<ClientMessage, ServerMessage> entryListener =
      new RecordingListener<>();
  private final RecordingListener<Peer, Peer> peerListener = new RecordingListener<>();

  sealed interface ClientMessage {
    record Question(int number) implements ClientMessage {}
  }

  sealed interface ServerMessage {
    record Answer(int number, byte[] padding) implements ServerMessage {}
  }

  sealed interface Peer {
    record Vote(String term) implements Peer {}
  }

  @Test
  void serverKeepsMessageOrderOfEntryVmsAndPeersOnOnePort() {
    RecordingListener<ServerMessage, ClientMessage> entry = new RecordingListener<>();
    RecordingListener<Peer, Peer> peer = new RecordingListener<>();
    try (FrameServer server = listen(0);
        FrameClient<ServerMessage, ClientMessage> entryConnection =
            entryClient(server.port(), entry, LIMITS);
        FrameClient<Peer, Peer> peerConnection =
            client(
                server.port(),
                new FrameEndpoint<>(ClientType.CONTROL_MEMBER, Peer.class, Peer.class, peer),
                LIMITS)) {
      entry.nextOpened();
      peer.nextOpened();
      for (int i = 0; i < 100; i++) {
        assertThat(entryConnection.send(new ClientMessage.Question(i))).isTrue();
      }
      peerConnection.send(new Peer.Vote("v"));
      for (int i = 0; i < 100; i++) {
        assertThat(entryListener.nextReceived()).isEqualTo(new ClientMessage.Question(i));
      }
      assertThat(peerListener.nextReceived()).isEqualTo(new Peer.Vote("v"));
      FrameConnection<ClientMessage, ServerMessage> accepted = entryListener.nextOpened();
      assertThat(accepted.handshake().speakerId()).isEqualTo("here");
      accepted.send(new ServerMessage.Answer(5, new byte[0]));
      assertThat(((ServerMessage.Answer) entry.nextReceived()).number()).isEqualTo(5);
    }
  }

  // Guards against unbounded memory growth in the leader while an entry VM is paused with its
  // sockets open. Once the bounded queue is full, the connection must close with its reason.
  @Test
  void peerThatDoesNotReadIsDisconnected() throws IOException {
    try (FrameServer server = listen(0);
        Socket pausedPeer = new Socket(HOST, server.port())) {
      writeFrame(
          pausedPeer, handshakeBody(ConnectionHandshake.PROTOCOL_VERSION, ClientType.ENTRY_VM));
      FrameConnection<ClientMessage, ServerMessage> connection = entryListener.nextOpened();
      ServerMessage.Answer answer = new ServerMessage.Answer(1, new byte[50_000]);
      int sent = 0;
      while (sent < 10_000 && connection.send(answer)) {
        sent++;
      }
      assertThat(sent).isLessThan(10_000);
      assertThat(entryListener.nextClosed()).isEqualTo(CloseReason.PEER_NOT_READING);
      assertThat(connection.send(answer)).isFalse();
    }
  }

  // Guards against an entry VM that keeps a dead connection, while its requests wait, after a
  // switch drops a control member's packets without a TCP reset. The client must close the
  // connection after the idle timeout and reconnect.
  @Test
  void halfOpenConnectionIsDetectedAndReestablished() throws IOException {
    RecordingListener<ServerMessage, ClientMessage> entry = new RecordingListener<>();
    try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getByName(HOST));
        FrameClient<ServerMessage, ClientMessage> client =
            entryClient(silent.getLocalPort(), entry, SHORT_TIMEOUT_LIMITS);
        Socket first = silent.accept()) {
      assertThat(entry.nextClosed()).isEqualTo(CloseReason.IDLE);
      try (Socket second = silent.accept()) {
        assertThat(second.isConnected()).isTrue();
      }
    }
  }

  @Test
  void idleConnectionSendsKeepalives() throws IOException {
    RecordingListener<ServerMessage, ClientMessage> entry = new RecordingListener<>();
    try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getByName(HOST));
        FrameClient<ServerMessage, ClientMessage> client =
            entryClient(silent.getLocalPort(), entry, SHORT_TIMEOUT_LIMITS);
        Socket accepted = silent.accept()) {
      DataInputStream in = new DataInputStream(accepted.getInputStream());
      in.readNBytes(in.readInt());
      assertThat(in.readInt()).isZero();
    }
  }

  @Test
  void clientReconnectsAfterServerRestart() {
    RecordingListener<ServerMessage, ClientMessage> entry = new RecordingListener<>();
    FrameServer first = listen(0);
    int port = first.port();
    try (FrameClient<ServerMessage, ClientMessage> client = entryClient(port, entry, LIMITS)) {
      entry.nextOpened();
      entryListener.nextOpened();
      first.close();
      assertThat(entry.nextClosed()).isEqualTo(CloseReason.CLOSED_BY_PEER);
      try (FrameServer second = listen(port)) {
        entry.nextOpened();
        client.send(new ClientMessage.Question(8));
        assertThat(entryListener.nextReceived()).isEqualTo(new ClientMessage.Question(8));
      }
    }
  }

  @Test
  void frameAboveLimitClosesConnectionBeforeItIsRead() throws IOException {
    try (FrameServer server = listen(0);
        Socket socket = new Socket(HOST, server.port())) {
      writeFrame(socket, handshakeBody(ConnectionHandshake.PROTOCOL_VERSION, ClientType.ENTRY_VM));
      entryListener.nextOpened();
      new DataOutputStream(socket.getOutputStream()).writeInt(100_001);
      assertThat(entryListener.nextClosed()).isEqualTo(CloseReason.FRAME_TOO_LARGE);
    }
  }

  @Test
  void messageAboveLimitIsNotSent() {
    RecordingListener<ServerMessage, ClientMessage> entry = new RecordingListener<>();
    try (FrameServer server = listen(0);
        FrameClient<ServerMessage, ClientMessage> client =
            entryClient(server.port(), entry, LIMITS)) {
      entry.nextOpened();
      FrameConnection<ClientMessage, ServerMessage> accepted = entryListener.nextOpened();
      assertThatThrownBy(() -> accepted.send(new ServerMessage.Answer(1, new byte[100_000])))
          .isInstanceOf(FrameTooLargeException.class);
      accepted.send(new ServerMessage.Answer(2, new byte[0]));
      assertThat(((ServerMessage.Answer) entry.nextReceived()).number()).isEqualTo(2);
    }
  }

  @Test
  void malformedMessageClosesConnection() throws IOException {
    try (FrameServer server = listen(0);
        Socket socket = new Socket(HOST, server.port())) {
      writeFrame(socket, handshakeBody(ConnectionHandshake.PROTOCOL_VERSION, ClientType.ENTRY_VM));
      writeFrame(socket, new byte[] {1, 2, 3});
      assertThat(entryListener.nextClosed()).isEqualTo(CloseReason.MALFORMED_MESSAGE);
      assertThat(isClosedWithoutData(socket)).isTrue();
    }
  }

  @Test
  void handshakeWithUnknownVersionOrClientTypeIsRefused() throws IOException {
    byte[] otherVersion = handshakeBody(99, ClientType.ENTRY_VM);
    try (FrameServer server = listen(0)) {
      for (byte[] bad : new byte[][] {otherVersion, {1, 2, 3}}) {
        try (Socket socket = new Socket(HOST, server.port())) {
          writeFrame(socket, bad);
          assertThat(isClosedWithoutData(socket)).isTrue();
        }
      }
    }
  }

  private FrameServer listen(int port) {
    return FrameServer.listen(
        new SocketAddress(HOST, port),
        LIMITS,
        codec,
        new FrameEndpoint<>(
            ClientType.ENTRY_VM, ClientMessage.class, ServerMessage.class, entryListener),
        new FrameEndpoint<>(ClientType.CONTROL_MEMBER, Peer.class, Peer.class, peerListener));
  }

  private FrameClient<ServerMessage, ClientMessage> entryClient(
      int port, RecordingListener<ServerMessage, ClientMessage> listener, FrameLimits limits) {
    return client(
        port,
        new FrameEndpoint<>(
            ClientType.ENTRY_VM, ServerMessage.class, ClientMessage.class, listener),
        limits);
  }

  private <I, O> FrameClient<I, O> client(
      int port, FrameEndpoint<I, O> endpoint, FrameLimits limits) {
    ReconnectBackoff backoff = new ReconnectBackoff(10, 40, new Random(3));
    return FrameClient.connect(
        new SocketAddress(HOST, port), "here", endpoint, limits, codec, backoff);
  }

  private byte[] handshakeBody(int version, ClientType speaker) {
    return codec.encode(
        ConnectionHandshake.class, new ConnectionHandshake(version, speaker, "entry-1"));
  }

  private static void writeFrame(Socket socket, byte[] body) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(body.length);
    out.write(body);
    out.flush();
  }

  private static boolean isClosedWithoutData(Socket socket) throws IOException {
    socket.setSoTimeout(10_000);
    return socket.getInputStream().read() < 0;
  }
}
