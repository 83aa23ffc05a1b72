package org.teaseltrail.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.PeerEnvelope;
import org.teaseltrail.core.replication.PeerMessage;
import org.teaseltrail.wire.CloseReason;
import org.teaseltrail.wire.ConnectionHandshake;
import org.teaseltrail.wire.FrameConnection;

class PeerConnectionsTest {

  private static final MemberId LEADER = new MemberId("control-1-7");
  private static final Member LEARNER =
      new Member(new MemberId("control-2-9"), new VmId("control-2"));
  private static final GroupId GROUP = new GroupId("prairie-control");

  private final List<ControlEvent> events = new ArrayList<>();
  private final PeerConnections connections =
      new PeerConnections(
          LEARNER, VmAddressResolver.ofPeers(List.of()), null, new Random(1), events::add);
  private final FakeConnection connection = new FakeConnection();

  /**
   * Guards against a new member that can never be promoted to a voter because it does not catch up.
   * Its log is empty, so it does not know the VM of the leader, and its replies to the leader's
   * messages would be dropped.
   */
  @Test
  void newMemberRepliesToLeaderOnUnknownVm() {
    PeerEnvelope reply = envelope(LEARNER.id(), LEADER);

    connections.onReceived(connection, envelope(LEADER, LEARNER.id()));
    connections.send(reply);

    assertThat(events).hasSize(1);
    assertThat(connection.sent).containsExactly(reply);
  }

  @Test
  void removesClosedConnection() {
    connections.onReceived(connection, envelope(LEADER, LEARNER.id()));
    connections.onClosed(connection, CloseReason.CLOSED_BY_PEER);

    connections.send(envelope(LEARNER.id(), LEADER));

    assertThat(connection.sent).isEmpty();
  }

  private static PeerEnvelope envelope(MemberId from, MemberId to) {
    return new PeerEnvelope(GROUP, from, to, new PeerMessage.VoteReply(1, true));
  }

  private static final class FakeConnection implements FrameConnection<PeerEnvelope, PeerEnvelope> {

    private final List<PeerEnvelope> sent = new ArrayList<>();

    @Override
    public ConnectionHandshake handshake() {
      throw new UnsupportedOperationException("not used in this test");
    }

    @Override
    public boolean send(PeerEnvelope message) {
      return sent.add(message);
    }

    @Override
    public CompletableFuture<CloseReason> closeFuture() {
      return new CompletableFuture<>();
    }

    @Override
    public void close() {}
  }
}
