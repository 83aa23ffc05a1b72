package org.teaseltrail.core.control;

import java.util.ArrayList;
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
import org.teaseltrail.core.replication.LogStatus;
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
import org.teaseltrail.core.stream.OriginAnswer;
import org.teaseltrail.core.stream.OriginQuestion;
import org.teaseltrail.core.stream.StreamOrigin;
import org.teaseltrail.core.stream.StreamOriginRegistry;

/**
 * A member of the control group. It maintains its copy of the replicated log and state. While it is
 * leader and its lease is valid, it also serves entry VMs, schedules the pools and answers
 * operators.
 */
public final class ControlMember {

  private final MemberId self;
  private final ActionBuffer actions = new ActionBuffer();
  private final ReplicatedStateMachine stateMachine;
  private final OperatorRequestHandler operators;
  private final LeaderContext context;
  private final StreamOriginRegistry origins = new StreamOriginRegistry();
  private Optional<Leadership> leadership = Optional.empty();
  private long nowNs;

  /**
   * Creates a member.
   *
   * @param self the member
   * @param settings settings that apply while it leads
   * @param replica its replica of the log; must not be used by anybody else afterwards
   * @param codec encodes and decodes commands and snapshots
   * @param schedulers creates the scheduler of each pool
   */
  public ControlMember(
      MemberId self,
      ControlSettings settings,
      Replica replica,
      StateCodec codec,
      SchedulerFactory schedulers) {
    this.self = self;
    stateMachine = new ReplicatedStateMachine(replica, codec, actions, new LogListener());
    operators = new OperatorRequestHandler(stateMachine, actions);
    context = new LeaderContext(self, settings, stateMachine, actions, schedulers);
    actions.setLeaseCheck(() -> replica.isLeaseValid(nowNs));
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @param eventNs monotonic time in nanoseconds, never less than at the call before
   * @return the actions to carry out, in order
   */
  public List<ControlAction> handle(ControlEvent event, long eventNs) {
    nowNs = eventNs;
    leadership.ifPresent(leader -> leader.advanceTo(nowNs));
    dispatch(event);
    leadership.ifPresent(leader -> leader.advanceTo(nowNs));
    return actions.take();
  }

  /**
   * Returns when the member next needs a tick if no other event occurs.
   *
   * @return monotonic time in nanoseconds, or empty if no timer is set
   */
  public OptionalLong nextWakeupNs() {
    OptionalLong leading = leadership.map(Leadership::nextWakeupNs).orElse(OptionalLong.empty());
    return Stream.of(stateMachine.replica().nextWakeupNs(), leading)
        .flatMapToLong(OptionalLong::stream)
        .min();
  }

  /**
   * Returns whether actions that require the lease may be carried out now. The process checks this
   * immediately before it sends one: it may have been paused since the decision, and another member
   * may lead by now.
   *
   * @param atNs monotonic time in nanoseconds
   */
  public boolean isLeaseValid(long atNs) {
    return leadership.isPresent() && stateMachine.replica().isLeaseValid(atNs);
  }

  /** Returns the accepted configuration, up to the last log entry that this member has applied. */
  public Configuration configuration() {
    return stateMachine.state().configuration();
  }

  /** Returns the number of claims, up to the last log entry that this member has applied. */
  public int claimCount() {
    return stateMachine.state().claims().size();
  }

  /** Returns the member set in effect on this member, whether committed or not. */
  public Membership membership() {
    return stateMachine.membership();
  }

  /** Returns the size of this member's log. */
  public LogStatus logStatus() {
    return stateMachine.replica().logStatus();
  }

  private void dispatch(ControlEvent event) {
    if (event instanceof ControlEvent.FromEntry from) {
      onEntryMessage(from.vm(), from.message());
    } else if (event instanceof ControlEvent.FromServingVm from) {
      onServingMessage(from.message());
    } else if (event instanceof ControlEvent.ServingVmConnected connected) {
      leadership.ifPresent(leader -> leader.servingCoordinator().onConnected(connected.vm()));
    } else if (event instanceof ControlEvent.MemberJoins joins) {
      leadership
          .flatMap(Leadership::membershipReconciler)
          .ifPresent(reconciler -> reconciler.heard(joins.member(), nowNs));
    } else if (event instanceof ControlEvent.FromPeer from) {
      stateMachine.handle(new ReplicaEvent.PeerMessageReceived(from.envelope()), nowNs);
    } else if (event instanceof ControlEvent.Persisted persisted) {
      stateMachine.handle(new ReplicaEvent.Persisted(persisted.writeNumber()), nowNs);
    } else if (event instanceof ControlEvent.SnapshotEncoded snapshot) {
      ReplicaEvent taken = new ReplicaEvent.SnapshotTaken(snapshot.index(), snapshot.state());
      stateMachine.handle(taken, nowNs);
    } else if (event instanceof ControlEvent.OperatorCall call) {
      onOperatorCall(call);
    } else if (event instanceof ControlEvent.OrderAnswered answered) {
      leadership.ifPresent(
          leader -> leader.orderDispatcher().onAnswer(answered.order(), answered.outcome(), nowNs));
    } else if (event instanceof ControlEvent.HandOver) {
      operators.handOver(nowNs);
    } else {
      stateMachine.handle(new ReplicaEvent.Tick(), nowNs);
      leadership.ifPresent(Leadership::tick);
    }
  }

  private void onEntryMessage(VmId vm, EntryMessage message) {
    if (message instanceof EntryMessage.Hello hello) {
      onHello(hello);
    } else {
      leadership.ifPresent(
          leader -> leader.gate().runUnderLease(() -> leader.entryHandler().message(vm, message)));
    }
  }

  /** Answers a sync immediately or not at all, like a hello. */
  private void onServingMessage(ServingMessage message) {
    if (message instanceof ServingMessage.StreamsBegun begun) {
      begun.streams().forEach(stream -> origins.record(stream, nowNs));
      return;
    }
    if (message instanceof ServingMessage.OriginQuery query) {
      answer(query);
      return;
    }
    if (leadership.isPresent() && leadership.get().gate().isOpen()) {
      leadership.get().servingCoordinator().message(message);
      return;
    }
    if (message instanceof ServingMessage.Sync sync) {
      redirectSync(sync);
    }
  }

  /**
   * Answers with the origins that this member was told. Where it was told none, the leader adds the
   * only origin that is possible, if there is just one.
   */
  private void answer(ServingMessage.OriginQuery query) {
    List<OriginAnswer> answers = new ArrayList<>();
    boolean proven = false;
    for (OriginQuestion question : query.questions()) {
      Optional<StreamOrigin> told = question.key().flatMap(key -> origins.find(key, nowNs));
      Optional<StreamOrigin> only = told.isPresent() ? Optional.empty() : findOnlyOrigin(question);
      proven |= only.isPresent();
      answers.add(new OriginAnswer(question.number(), told.or(() -> only)));
    }
    actions.sendToServingVm(query.vm(), new ServingReply.OriginAnswers(answers, proven));
  }

  private Optional<StreamOrigin> findOnlyOrigin(OriginQuestion question) {
    return leadership
        .filter(leader -> leader.gate().isOpen())
        .flatMap(leader -> question.service().flatMap(leader.servingCoordinator()::findOnlyOrigin));
  }

  private void redirectSync(ServingMessage.Sync sync) {
    Membership members = stateMachine.membership();
    Optional<VmId> leader =
        stateMachine
            .replica()
            .leader()
            .filter(known -> !known.equals(self))
            .flatMap(members::find)
            .map(Member::vm);
    List<VmId> vms = members.all().map(Member::vm).distinct().toList();
    actions.sendToServingVm(sync.vm(), new ServingReply.NotLeading(sync.sequence(), leader, vms));
  }

  /**
   * Answers a hello immediately or not at all: a hello extends the session only from the time at
   * which it was sent.
   */
  private void onHello(EntryMessage.Hello hello) {
    if (leadership.isPresent() && leadership.get().gate().isOpen()) {
      leadership.get().entryHandler().onHello(hello);
      return;
    }
    Optional<MemberId> leader =
        stateMachine.replica().leader().filter(known -> !known.equals(self));
    actions.sendNotLeader(hello.vm(), new ControlMessage.NotLeader(self, leader, hello.sequence()));
  }

  private void onOperatorCall(ControlEvent.OperatorCall call) {
    if (call.request() instanceof OperatorRequest.ReadLocalStatus) {
      ControlStatusBuilder report = new ControlStatusBuilder(self, stateMachine, leadership);
      actions.reply(call.callId(), new OperatorResult.StatusRead(report.build(nowNs)));
    } else if (leadership.isPresent() && leadership.get().gate().isOpen()) {
      operators.handle(call.callId(), call.request(), leadership.get());
    } else {
      operators.replyNotLeader(call.callId());
    }
  }

  private void announceLeadership() {
    actions.leadershipChanged(
        leadership.isPresent(), stateMachine.replica().term(), stateMachine.replica().leader());
  }

  /** Passes changes of the replicated log on to the leadership. */
  private final class LogListener implements ReplicatedStateMachine.Listener {

    @Override
    public void applied(Command command, CommandResult result, long atNs) {
      boolean accepted =
          result instanceof CommandResult.ChangeOutcome change
              && change.result() instanceof ChangeResult.Accepted;
      if (accepted) {
        leadership.ifPresent(Leadership::onConfigurationAccepted);
      }
      boolean servingStateChanged =
          result instanceof CommandResult.ServingOutcome
              || result instanceof CommandResult.RolloutOutcome;
      if (servingStateChanged) {
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
