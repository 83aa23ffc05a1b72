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

/** Answers operators' requests on the leader. */
final class OperatorRequestHandler {

  private static final String UNKNOWN = "unknown";
  private static final long NS_PER_MS = 1_000_000L;

  private final ReplicatedStateMachine replicated;
  private final ActionBuffer out;

  OperatorRequestHandler(ReplicatedStateMachine replicated, ActionBuffer out) {
    this.replicated = replicated;
    this.out = out;
  }

  void replyNotLeader(long callId) {
    out.reply(callId, new OperatorResult.NotLeader(replicated.replica().leader()));
  }

  void handle(long callId, OperatorRequest request, Leadership leadership) {
    long nowNs = leadership.nowNs();
    if (request instanceof OperatorRequest.Change change) {
      change(callId, change, leadership);
    } else if (request instanceof OperatorRequest.ReadConfiguration) {
      out.reply(callId, new OperatorResult.ConfigurationRead(leadership.configuration()));
    } else if (request instanceof OperatorRequest.ReadStatus) {
      out.reply(callId, new OperatorResult.StatusRead(statusOf(leadership)));
    } else if (request instanceof OperatorRequest.ReadDecisions) {
      out.reply(callId, new OperatorResult.DecisionsRead(out.decisions(nowNs)));
    } else if (request instanceof OperatorRequest.AwaitInForce await) {
      leadership.inForceTracker().await(callId, await, nowNs);
    } else if (request instanceof OperatorRequest.ChangeMembers members) {
      replicated.propose(members.change(), new MembersCallback(callId), nowNs);
    } else if (request instanceof OperatorRequest.OrderEngine order) {
      leadership.orderDispatcher().send(callId, order, leadership);
    } else if (request instanceof OperatorRequest.TransferLeadership transfer) {
      transfer(callId, transfer, nowNs);
    } else if (request instanceof OperatorRequest.PlatformRequest platform) {
      platform(callId, platform, leadership);
    }
  }

  private void platform(
      long callId, OperatorRequest.PlatformRequest request, Leadership leadership) {
    long nowNs = leadership.nowNs();
    long logTimeMs = leadership.logTimeMs(nowNs);
    if (request instanceof OperatorRequest.InstallPlan install) {
      propose(callId, new Command.InstallPlan(install.installed(), logTimeMs), nowNs);
    } else if (request instanceof OperatorRequest.ReadPlan) {
      replicated.read(new PlanReader(callId), nowNs);
    } else if (request instanceof OperatorRequest.Heartbeat heartbeat) {
      heartbeat(callId, heartbeat.heard(), leadership);
    } else if (request instanceof OperatorRequest.Leave leave) {
      Registration leaving = knownOrBlank(leave);
      propose(callId, new Command.UpstreamLeaves(leaving, logTimeMs), nowNs);
    } else if (request instanceof OperatorRequest.StartRollout start) {
      rollout(callId, new Command.OrderRollout(start.order(), logTimeMs), nowNs);
    } else if (request instanceof OperatorRequest.AbortRollout abort) {
      abort(callId, abort.service(), logTimeMs, nowNs);
    } else if (request instanceof OperatorRequest.ReadRollout read) {
      replicated.read(new RolloutReader(callId, read.service()), nowNs);
    }
  }

  private void rollout(long callId, Command command, long nowNs) {
    replicated.propose(command, new RolloutCallback(callId), nowNs);
  }

  private void abort(long callId, ServiceId service, long logTimeMs, long nowNs) {
    Optional<Rollout> newest = replicated.state().rollouts().find(service);
    if (newest.isEmpty()) {
      out.reply(callId, new OperatorResult.RolloutOrderAnswered(RolloutOrderResult.NONE_RUNNING));
      return;
    }
    Command.TurnRollout turn =
        new Command.TurnRollout(
            service,
            newest.get().orderedMs(),
            RolloutPhase.ROLLED_BACK,
            RolloutReason.ABORTED,
            logTimeMs);
    rollout(callId, turn, nowNs);
  }

  /** Commits a heartbeat that changes something; the others only show that the upstream lives. */
  private void heartbeat(long callId, Registration heard, Leadership leadership) {
    leadership.servingCoordinator().onHeartbeat(heard);
    if (replicated.state().registry().needsCommit(heard)) {
      long nowNs = leadership.nowNs();
      propose(callId, new Command.RegisterUpstream(heard, leadership.logTimeMs(nowNs)), nowNs);
    } else {
      out.reply(callId, new OperatorResult.PlatformRequestCompleted(OptionalLong.empty()));
    }
  }

  /**
   * Returns what is known of an upstream that leaves; of one that never registered only the id, so
   * that a heartbeat on its way behind the leave finds it gone. A leave that doesn't name its life
   * is that of the life that is known, or of all lives if none is.
   */
  private Registration knownOrBlank(OperatorRequest.Leave leave) {
    Optional<Registration> known = replicated.state().registry().find(leave.upstream());
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
    replicated.propose(command, new ServingCallback(callId, nowNs), nowNs);
  }

  /** Hands leadership over before the process ends. */
  void handOver(long nowNs) {
    long id = replicated.registerCallback(new HandOverCallback());
    replicated.handle(new ReplicaEvent.TransferLeadership(id, Optional.empty()), nowNs);
    replicated.removeCallback(id);
  }

  private ControlStatus statusOf(Leadership leadership) {
    ControlStatusBuilder report =
        new ControlStatusBuilder(leadership.context().self(), replicated, Optional.of(leadership));
    return report.build(leadership.nowNs());
  }

  private void change(long callId, OperatorRequest.Change change, Leadership leadership) {
    long nowNs = leadership.nowNs();
    Command command =
        new Command.ChangeConfiguration(
            change.change(), change.expected(), change.items(), leadership.logTimeMs(nowNs));
    replicated.propose(command, new ChangeCallback(callId), nowNs);
  }

  private void transfer(long callId, OperatorRequest.TransferLeadership transfer, long nowNs) {
    TransferCallback callback = new TransferCallback(callId);
    long id = replicated.registerCallback(callback);
    replicated.handle(new ReplicaEvent.TransferLeadership(id, transfer.successor()), nowNs);
    replicated.removeCallback(id);
    if (!callback.rejected) {
      out.reply(callId, new OperatorResult.TransferStarted());
    }
  }

  private final class HandOverCallback implements ProposalCallback {

    @Override
    public void committed(CommandResult result, long nowNs) {}

    @Override
    public void rejected(ProposalRejection reason, long nowNs) {
      out.handOverRejected(reason);
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
        out.reply(callId, new OperatorResult.Rejected(reason));
      }
    }

    @Override
    public void outcomeIndeterminate(long nowNs) {
      out.reply(callId, new OperatorResult.OutcomeIndeterminate());
    }
  }

  private final class ChangeCallback extends ReplyingCallback {
    ChangeCallback(long callId) {
      super(callId);
    }

    @Override
    public void committed(CommandResult result, long nowNs) {
      var change = ((CommandResult.OfChange) result).result();
      out.reply(callId, new OperatorResult.Changed(change));
    }
  }

  private final class ServingCallback extends ReplyingCallback {
    private final long takenNs;

    ServingCallback(long callId, long takenNs) {
      super(callId);
      this.takenNs = takenNs;
    }

    @Override
    public void committed(CommandResult result, long nowNs) {
      OptionalLong commitMs = OptionalLong.of((nowNs - takenNs) / NS_PER_MS);
      out.reply(callId, new OperatorResult.PlatformRequestCompleted(commitMs));
    }
  }

  private final class RolloutCallback extends ReplyingCallback {
    RolloutCallback(long callId) {
      super(callId);
    }

    @Override
    public void committed(CommandResult result, long nowNs) {
      RolloutOrderResult answer = ((CommandResult.OfRollout) result).answer();
      out.reply(callId, new OperatorResult.RolloutOrderAnswered(answer));
    }
  }

  private final class RolloutReader implements ReplicatedStateMachine.ReadCallback {
    private final long callId;
    private final ServiceId service;

    RolloutReader(long callId, ServiceId service) {
      this.callId = callId;
      this.service = service;
    }

    @Override
    public void ready() {
      out.reply(
          callId, new OperatorResult.RolloutRead(replicated.state().rollouts().find(service)));
    }

    @Override
    public void refused() {
      replyNotLeader(callId);
    }
  }

  private final class PlanReader implements ReplicatedStateMachine.ReadCallback {
    private final long callId;

    PlanReader(long callId) {
      this.callId = callId;
    }

    @Override
    public void ready() {
      out.reply(callId, new OperatorResult.PlanRead(replicated.state().plan()));
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
      out.reply(callId, new OperatorResult.MembersChanged(replicated.membership()));
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
