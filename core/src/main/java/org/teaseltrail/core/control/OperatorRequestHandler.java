package org.teaseltrail.core.control;

import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.replication.ProposalRejection;
import org.teaseltrail.core.replication.ReplicaEvent;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutOrderResult;
import org.teaseltrail.core.rollout.RolloutPhase;
import org.teaseltrail.core.rollout.RolloutReason;
import org.teaseltrail.core.state.Command;
import org.teaseltrail.core.state.CommandResult;
import org.teaseltrail.core.upstream.SocketAddress;

/** Handles operators' requests on the leader. */
final class OperatorRequestHandler {

  private static final String UNKNOWN = "unknown";
  private static final long NS_PER_MS = 1_000_000L;

  private final ReplicatedStateMachine stateMachine;
  private final ActionBuffer actions;

  OperatorRequestHandler(ReplicatedStateMachine stateMachine, ActionBuffer actions) {
    this.stateMachine = stateMachine;
    this.actions = actions;
  }

  void replyNotLeader(long callId) {
    actions.reply(callId, new OperatorResult.NotLeader(stateMachine.replica().leader()));
  }

  void handle(long callId, OperatorRequest request, Leadership leadership) {
    long nowNs = leadership.nowNs();
    if (request instanceof OperatorRequest.Change change) {
      change(callId, change, leadership);
    } else if (request instanceof OperatorRequest.ReadConfiguration) {
      actions.reply(callId, new OperatorResult.ConfigurationRead(leadership.configuration()));
    } else if (request instanceof OperatorRequest.ReadStatus) {
      actions.reply(callId, new OperatorResult.StatusRead(statusOf(leadership)));
    } else if (request instanceof OperatorRequest.ReadDecisions) {
      actions.reply(callId, new OperatorResult.DecisionsRead(actions.decisions(nowNs)));
    } else if (request instanceof OperatorRequest.AwaitInForce await) {
      leadership.inForceTracker().await(callId, await, nowNs);
    } else if (request instanceof OperatorRequest.ChangeMembers members) {
      stateMachine.propose(members.change(), new MembersCallback(callId), nowNs);
    } else if (request instanceof OperatorRequest.OrderEngine order) {
      leadership.orderDispatcher().send(callId, order, leadership);
    } else if (request instanceof OperatorRequest.TransferLeadership transfer) {
      transfer(callId, transfer, nowNs);
    } else if (request instanceof OperatorRequest.PlatformRequest platform) {
      handlePlatformRequest(callId, platform, leadership);
    }
  }

  private void handlePlatformRequest(
      long callId, OperatorRequest.PlatformRequest request, Leadership leadership) {
    long nowNs = leadership.nowNs();
    long logTimeMs = leadership.logTimeMs(nowNs);
    if (request instanceof OperatorRequest.InstallPlan install) {
      propose(callId, new Command.InstallPlan(install.installed(), logTimeMs), nowNs);
    } else if (request instanceof OperatorRequest.ReadPlan) {
      stateMachine.read(new PlanReadCallback(callId), nowNs);
    } else if (request instanceof OperatorRequest.Heartbeat heartbeat) {
      onHeartbeat(callId, heartbeat.heard(), leadership);
    } else if (request instanceof OperatorRequest.Leave leave) {
      Registration leaving = knownOrPlaceholder(leave);
      propose(callId, new Command.UpstreamLeaves(leaving, logTimeMs), nowNs);
    } else if (request instanceof OperatorRequest.StartRollout start) {
      proposeRollout(callId, new Command.OrderRollout(start.order(), logTimeMs), nowNs);
    } else if (request instanceof OperatorRequest.AbortRollout abort) {
      abortRollout(callId, abort.service(), logTimeMs, nowNs);
    } else if (request instanceof OperatorRequest.ReadRollout read) {
      stateMachine.read(new RolloutReadCallback(callId, read.service()), nowNs);
    }
  }

  private void proposeRollout(long callId, Command command, long nowNs) {
    stateMachine.propose(command, new RolloutCallback(callId), nowNs);
  }

  private void abortRollout(long callId, ServiceId service, long logTimeMs, long nowNs) {
    Optional<Rollout> newest = stateMachine.state().rollouts().find(service);
    if (newest.isEmpty()) {
      actions.reply(
          callId, new OperatorResult.RolloutOrderAnswered(RolloutOrderResult.NONE_RUNNING));
      return;
    }
    Command.TurnRollout turn =
        new Command.TurnRollout(
            service,
            newest.get().orderedMs(),
            RolloutPhase.ROLLED_BACK,
            RolloutReason.ABORTED,
            logTimeMs);
    proposeRollout(callId, turn, nowNs);
  }

  /**
   * Commits a heartbeat that changes the registration; any other heartbeat only shows that the
   * upstream is alive.
   */
  private void onHeartbeat(long callId, Registration heard, Leadership leadership) {
    leadership.servingCoordinator().onHeartbeat(heard);
    if (stateMachine.state().registry().needsCommit(heard)) {
      long nowNs = leadership.nowNs();
      propose(callId, new Command.RegisterUpstream(heard, leadership.logTimeMs(nowNs)), nowNs);
    } else {
      actions.reply(callId, new OperatorResult.PlatformRequestCompleted(OptionalLong.empty()));
    }
  }

  /**
   * Returns the registration of an upstream that deregisters. For an upstream that never registered
   * it holds only the id, so that a heartbeat that arrives after the deregistration is rejected. A
   * request that doesn't name an incarnation applies to the known one, or to all incarnations if
   * none is known.
   */
  private Registration knownOrPlaceholder(OperatorRequest.Leave leave) {
    Optional<Registration> known = stateMachine.state().registry().find(leave.upstream());
    return known
        .filter(held -> leave.bornMs().orElse(held.bornMs()) == held.bornMs())
        .orElseGet(
            () ->
                new Registration(
                    leave.upstream(),
                    leave.bornMs().orElse(Long.MAX_VALUE),
                    new ServiceId(UNKNOWN),
                    new SocketAddress(UNKNOWN, 0),
                    new DataCenterId(UNKNOWN),
                    0,
                    RegistrationPhase.GONE,
                    Long.MAX_VALUE,
                    Optional.empty(),
                    0));
  }

  private void propose(long callId, Command command, long nowNs) {
    stateMachine.propose(command, new ServingCallback(callId, nowNs), nowNs);
  }

  /** Transfers leadership before the process stops. */
  void handOver(long nowNs) {
    long id = stateMachine.registerCallback(new HandOverCallback());
    stateMachine.handle(new ReplicaEvent.TransferLeadership(id, Optional.empty()), nowNs);
    stateMachine.removeCallback(id);
  }

  private ControlStatus statusOf(Leadership leadership) {
    ControlStatusBuilder report =
        new ControlStatusBuilder(
            leadership.context().self(), stateMachine, Optional.of(leadership));
    return report.build(leadership.nowNs());
  }

  private void change(long callId, OperatorRequest.Change change, Leadership leadership) {
    long nowNs = leadership.nowNs();
    Command command =
        new Command.ChangeConfiguration(
            change.change(), change.expected(), change.items(), leadership.logTimeMs(nowNs));
    stateMachine.propose(command, new ChangeCallback(callId), nowNs);
  }

  private void transfer(long callId, OperatorRequest.TransferLeadership transfer, long nowNs) {
    TransferCallback callback = new TransferCallback(callId);
    long id = stateMachine.registerCallback(callback);
    stateMachine.handle(new ReplicaEvent.TransferLeadership(id, transfer.successor()), nowNs);
    stateMachine.removeCallback(id);
    if (!callback.rejected) {
      actions.reply(callId, new OperatorResult.TransferStarted());
    }
  }

  private final class HandOverCallback implements ProposalCallback {

    @Override
    public void committed(CommandResult result, long nowNs) {}

    @Override
    public void rejected(ProposalRejection reason, long nowNs) {
      actions.handOverRejected(reason);
    }
  }

  private abstract class ReplyingCallback implements ProposalCallback {

    final long callId;

    ReplyingCallback(long callId) {
      this.callId = callId;
    }

    @Override
    public void rejected(ProposalRejection reason, long nowNs) {
      if (reason == ProposalRejection.NOT_LEADER) {
        replyNotLeader(callId);
      } else {
        actions.reply(callId, new OperatorResult.Rejected(reason));
      }
    }

    @Override
    public void outcomeIndeterminate(long nowNs) {
      actions.reply(callId, new OperatorResult.OutcomeIndeterminate());
    }
  }

  private final class ChangeCallback extends ReplyingCallback {
    ChangeCallback(long callId) {
      super(callId);
    }

    @Override
    public void committed(CommandResult result, long nowNs) {
      var change = ((CommandResult.ChangeOutcome) result).result();
      actions.reply(callId, new OperatorResult.Changed(change));
    }
  }

  private final class ServingCallback extends ReplyingCallback {
    private final long receivedNs;

    ServingCallback(long callId, long receivedNs) {
      super(callId);
      this.receivedNs = receivedNs;
    }

    @Override
    public void committed(CommandResult result, long nowNs) {
      OptionalLong commitMs = OptionalLong.of((nowNs - receivedNs) / NS_PER_MS);
      actions.reply(callId, new OperatorResult.PlatformRequestCompleted(commitMs));
    }
  }

  private final class RolloutCallback extends ReplyingCallback {
    RolloutCallback(long callId) {
      super(callId);
    }

    @Override
    public void committed(CommandResult result, long nowNs) {
      RolloutOrderResult answer = ((CommandResult.RolloutOutcome) result).result();
      actions.reply(callId, new OperatorResult.RolloutOrderAnswered(answer));
    }
  }

  private final class RolloutReadCallback implements ReplicatedStateMachine.ReadCallback {
    private final long callId;
    private final ServiceId service;

    RolloutReadCallback(long callId, ServiceId service) {
      this.callId = callId;
      this.service = service;
    }

    @Override
    public void ready() {
      actions.reply(
          callId, new OperatorResult.RolloutRead(stateMachine.state().rollouts().find(service)));
    }

    @Override
    public void refused() {
      replyNotLeader(callId);
    }
  }

  private final class PlanReadCallback implements ReplicatedStateMachine.ReadCallback {
    private final long callId;

    PlanReadCallback(long callId) {
      this.callId = callId;
    }

    @Override
    public void ready() {
      actions.reply(callId, new OperatorResult.PlanRead(stateMachine.state().plan()));
    }

    @Override
    public void refused() {
      replyNotLeader(callId);
    }
  }

  private final class MembersCallback extends ReplyingCallback {
    MembersCallback(long callId) {
      super(callId);
    }

    @Override
    public void committed(CommandResult result, long nowNs) {
      actions.reply(callId, new OperatorResult.MembersChanged(stateMachine.membership()));
    }
  }

  private final class TransferCallback extends ReplyingCallback {
    private boolean rejected;

    TransferCallback(long callId) {
      super(callId);
    }

    @Override
    public void committed(CommandResult result, long nowNs) {}

    @Override
    public void rejected(ProposalRejection reason, long nowNs) {
      rejected = true;
      super.rejected(reason, nowNs);
    }
  }
}
