package org.teaseltrail.core.control;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.Replica;
import org.teaseltrail.core.replication.ReplicaEvent;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;
import org.teaseltrail.core.state.ChangeResult;
import org.teaseltrail.core.state.Command;
import org.teaseltrail.core.state.CommandResult;
import org.teaseltrail.core.state.StateCodec;

/**
 * Is a control member. It keeps its part of the replicated log and state; while it leads and its
 * lease holds, it also serves entry VMs, schedules the pools and answers operators.
 */
public final class ControlMember {

  private final MemberId self;
  private final ActionBuffer out = new ActionBuffer();
  private final ReplicatedStateMachine replicated;
  private final OperatorRequestHandler operators;
  private final LeaderContext context;
  private Optional<Leadership> leadership = Optional.empty();
  private long nowNs;

  /**
   * Creates a member.
   *
   * @param self the member
   * @param settings what it does while it leads
   * @param replica its part of the log; nobody else may use it afterwards
   * @param codec writes commands and snapshots
   * @param schedulers makes the scheduler of each pool
   */
  public ControlMember(
      MemberId self,
      ControlSettings settings,
      Replica replica,
      StateCodec codec,
      SchedulerFactory schedulers) {
    this.self = self;
    replicated = new ReplicatedStateMachine(replica, codec, out, new LogListener());
    operators = new OperatorRequestHandler(replicated, out);
    context = new LeaderContext(self, settings, replicated, out, schedulers);
    out.setLeaseCheck(() -> replica.leaseHolds(nowNs));
  }

  /**
   * Takes an event.
   *
   * @param event what has happened
   * @param eventNs monotonic time in nanoseconds, never less than at the call before
   * @return what is to be done, in order
   */
  public List<ControlAction> handle(ControlEvent event, long eventNs) {
    nowNs = eventNs;
    leadership.ifPresent(leader -> leader.advanceTo(nowNs));
    dispatch(event);
    leadership.ifPresent(leader -> leader.advanceTo(nowNs));
    return out.take();
  }

  /**
   * Returns when the member next wants a tick if nothing else happens.
   *
   * @return monotonic time in nanoseconds, or empty if it waits for nothing
   */
  public OptionalLong nextWakeupNs() {
    OptionalLong leading = leadership.map(Leadership::nextWakeupNs).orElse(OptionalLong.empty());
    return Stream.of(replicated.replica().nextWakeupNs(), leading)
        .flatMapToLong(OptionalLong::stream)
        .min();
  }

  /**
   * Returns whether outward actions may leave now. The program asks right before it sends one: the
   * process may have been frozen since the decision, and another member may lead by now.
   *
   * @param atNs monotonic time in nanoseconds
   */
  public boolean isLeaseValid(long atNs) {
    return leadership.isPresent() && replicated.replica().leaseHolds(atNs);
  }

  /** Returns the accepted configuration as far as this member has applied the log. */
  public Configuration configuration() {
    return replicated.state().configuration();
  }

  /** Returns the count of claims as far as this member has applied the log. */
  public int claimCount() {
    return replicated.state().claims().size();
  }

  private void dispatch(ControlEvent event) {
    if (event instanceof ControlEvent.FromEntry from) {
      fromEntry(from.vm(), from.message());
    } else if (event instanceof ControlEvent.FromServingVm from) {
      fromServingVm(from.message());
    } else if (event instanceof ControlEvent.MemberJoins joins) {
      leadership
          .flatMap(Leadership::membershipReconciler)
          .ifPresent(keeper -> keeper.heard(joins.member(), nowNs));
    } else if (event instanceof ControlEvent.FromPeer from) {
      replicated.handle(new ReplicaEvent.PeerReceived(from.envelope()), nowNs);
    } else if (event instanceof ControlEvent.Persisted persisted) {
      replicated.handle(new ReplicaEvent.Persisted(persisted.writeNumber()), nowNs);
    } else if (event instanceof ControlEvent.SnapshotEncoded snapshot) {
      ReplicaEvent taken = new ReplicaEvent.SnapshotTaken(snapshot.index(), snapshot.state());
      replicated.handle(taken, nowNs);
    } else if (event instanceof ControlEvent.OperatorCall call) {
      operatorCall(call);
    } else if (event instanceof ControlEvent.OrderAnswered answered) {
      leadership.ifPresent(
          leader -> leader.orderDispatcher().onAnswer(answered.order(), answered.outcome(), nowNs));
    } else if (event instanceof ControlEvent.HandOver) {
      operators.handOver(nowNs);
    } else {
      replicated.handle(new ReplicaEvent.Tick(), nowNs);
      leadership.ifPresent(Leadership::tick);
    }
  }

  private void fromEntry(VmId vm, EntryMessage message) {
    if (message instanceof EntryMessage.Hello hello) {
      hello(hello);
    } else {
      leadership.ifPresent(
          leader -> leader.gate().runUnderLease(() -> leader.entryHandler().message(vm, message)));
    }
  }

  /** A sync is answered at once or not at all, like a hello. */
  private void fromServingVm(ServingMessage message) {
    if (leadership.isPresent() && leadership.get().gate().isOpen()) {
      leadership.get().servingCoordinator().message(message);
      return;
    }
    if (message instanceof ServingMessage.Sync sync) {
      syncElsewhere(sync);
    }
  }

  private void syncElsewhere(ServingMessage.Sync sync) {
    Membership members = replicated.membership();
    Optional<VmId> leader =
        replicated
            .replica()
            .leader()
            .filter(known -> !known.equals(self))
            .flatMap(members::find)
            .map(Member::vm);
    List<VmId> vms = members.all().map(Member::vm).distinct().toList();
    out.sendNotLeading(sync.vm(), new ServingReply.NotLeading(sync.sequence(), leader, vms));
  }

  /** A hello is answered at once or not at all: it is good only for the time after its sending. */
  private void hello(EntryMessage.Hello hello) {
    if (leadership.isPresent() && leadership.get().gate().isOpen()) {
      leadership.get().entryHandler().onHello(hello);
      return;
    }
    Optional<MemberId> leader = replicated.replica().leader().filter(known -> !known.equals(self));
    out.sendNotLeader(hello.vm(), new ControlMessage.NotLeader(self, leader, hello.sequence()));
  }

  private void operatorCall(ControlEvent.OperatorCall call) {
    if (call.request() instanceof OperatorRequest.ReadLocalStatus) {
      ControlStatusBuilder report = new ControlStatusBuilder(self, replicated, leadership);
      out.reply(call.callId(), new OperatorResult.StatusRead(report.build(nowNs)));
    } else if (leadership.isPresent() && leadership.get().gate().isOpen()) {
      operators.handle(call.callId(), call.request(), leadership.get());
    } else {
      operators.replyNotLeader(call.callId());
    }
  }

  private void announceLeadership() {
    out.leadershipChanged(
        leadership.isPresent(), replicated.replica().term(), replicated.replica().leader());
  }

  /** Turns what the log does into what the member does. */
  private final class LogListener implements ReplicatedStateMachine.Listener {

    @Override
    public void applied(Command command, CommandResult result, long atNs) {
      boolean accepted =
          result instanceof CommandResult.OfChange change
              && change.result() instanceof ChangeResult.Accepted;
      if (accepted) {
        leadership.ifPresent(Leadership::onConfigurationAccepted);
      }
      boolean told =
          result instanceof CommandResult.OfServing || result instanceof CommandResult.OfRollout;
      if (told) {
        leadership.ifPresent(Leadership::onServingStateChanged);
      }
    }

    @Override
    public void restored(long atNs) {}

    @Override
    public void becameLeader(long term, long atNs) {
      Leadership leader = new Leadership(context, new FencingNumber(term), atNs);
      leadership = Optional.of(leader);
      leader.begin();
      announceLeadership();
    }

    @Override
    public void lostLeadership(long atNs) {
      leadership.ifPresent(Leadership::end);
      leadership = Optional.empty();
      announceLeadership();
    }

    @Override
    public void leaderChanged(long atNs) {
      announceLeadership();
    }
  }
}
