package org.teaseltrail.control;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.teaseltrail.core.control.ControlAction;
import org.teaseltrail.core.control.SlotShare;
import org.teaseltrail.core.decision.Decision;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.Verdict;
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.runtime.log.DecisionLog;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;

/** Executes the actions that a control member decides on, on the member's event loop thread. */
final class ActionExecutor {

  private static final long TRANSFER_TIMEOUT_MS = 2_000;

  private final ComponentLogger logger = new ComponentLogger("replica");
  private final DecisionLog decisions = new DecisionLog(new ComponentLogger("schedule"));
  private final ActionTargets targets;
  private final LeaseGuardedQueue leaseGuarded;
  private final CountDownLatch transferEnded = new CountDownLatch(1);
  private volatile boolean serving;
  private volatile boolean leaderKnown;
  private volatile boolean closing;

  ActionExecutor(ActionTargets targets, BooleanSupplier leaseValid) {
    this.targets = targets;
    leaseGuarded = new LeaseGuardedQueue(leaseValid, this::executeUnderLease);
  }

  void run(ControlAction action) {
    if (action.requiresLease()) {
      leaseGuarded.add(action);
    } else if (action instanceof ControlAction.Persist persist) {
      targets.writes().submit(persist.write());
      targets.logSize().onWrite(persist.write());
    } else if (action instanceof ControlAction.EncodeSnapshot encode) {
      targets.snapshots().encode(encode);
    } else if (action instanceof ControlAction.SendToPeer send) {
      targets.peerConnections().send(send.envelope());
    } else if (action instanceof ControlAction.SendNotLeader send) {
      targets.entryVms().send(send.vm(), send.message());
    } else if (action instanceof ControlAction.SendToServingVm send) {
      targets.servingVms().send(send.vm(), send.reply());
    } else if (action instanceof ControlAction.Reply reply) {
      targets.calls().reply(reply.callId(), reply.result());
    } else if (action instanceof ControlAction.LogDecision log) {
      log(log.decision());
    } else if (action instanceof ControlAction.RequestUndecided undecided) {
      undecided(undecided);
    } else if (action instanceof ControlAction.RequestQuarantined held) {
      held(held);
    } else if (action instanceof ControlAction.RequestReleased released) {
      released(released);
    } else if (action instanceof ControlAction.RolloutPhaseChanged turned) {
      turned(turned);
    } else if (action instanceof ControlAction.LogSlotShares shared) {
      targets.log().ifPresent(log -> writeSlotShares(log, shared));
    } else if (action instanceof ControlAction.LeadershipChanged changed) {
      leadershipChanged(changed);
    } else if (action instanceof ControlAction.HandOverRejected) {
      transferEnded.countDown();
    } else if (action instanceof ControlAction.MembershipChanged changed) {
      targets.group().members(changed.membership());
      targets.log().ifPresent(log -> writeMembership(log, changed.membership()));
    } else if (action instanceof ControlAction.LearnerPromoted promoted) {
      promoted(promoted);
    }
  }

  /** Sends the queued actions that require the lease, if the lease is valid. */
  void flush() {
    leaseGuarded.flush();
  }

  boolean knowsLeader() {
    return leaderKnown;
  }

  /**
   * Waits until this member no longer leads or its leadership transfer was rejected, but no longer
   * than a fixed timeout.
   */
  void awaitLeadershipTransfer() {
    closing = true;
    if (!serving) {
      return;
    }
    try {
      transferEnded.await(TRANSFER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void executeUnderLease(ControlAction action) {
    if (action instanceof ControlAction.SendToEntryVm send) {
      targets.entryVms().send(send.vm(), send.message());
    } else if (action instanceof ControlAction.SendToServingVm send) {
      targets.servingVms().send(send.vm(), send.reply());
    } else if (action instanceof ControlAction.SendOrder send) {
      targets.orderClient().send(send.order());
    }
  }

  private static void writeSlotShares(EventLog log, ControlAction.LogSlotShares shared) {
    log.line(LogEvent.SLOTS_SHARED)
        .with(LogField.SERVICE, shared.service().value())
        .with(LogField.SLOTS, shared.slots())
        .with(
            LogField.SHARES,
            shared.shares().stream().map(ActionExecutor::text).collect(Collectors.joining("; ")))
        .write();
  }

  private static String text(SlotShare share) {
    return share.customer().map(CustomerId::value).orElse("none")
        + " rank "
        + share.routeRank()
        + ": "
        + share.inUse()
        + " in use, "
        + share.granted()
        + " granted, "
        + share.waiting()
        + " waiting";
  }

  private static void write(EventLog log, ControlAction.LeadershipChanged changed, String leader) {
    log.line(LogEvent.LEADERSHIP_CHANGED)
        .with(LogField.TERM, changed.term())
        .with(LogField.LEADER, leader)
        .with(LogField.LEADING, changed.serving())
        .write();
  }

  private static void writeMembership(EventLog log, Membership membership) {
    log.line(LogEvent.MEMBERSHIP_CHANGED)
        .with(LogField.VOTERS, ids(membership.voters()))
        .with(LogField.LEARNERS, ids(membership.learners()))
        .write();
  }

  private static String ids(List<Member> members) {
    return members.stream().map(member -> member.id().value()).collect(Collectors.joining(", "));
  }

  private void promoted(ControlAction.LearnerPromoted promoted) {
    targets.metrics().setRepairDuration(promoted.elapsedMs());
    targets
        .log()
        .ifPresent(
            log ->
                log.line(LogEvent.LEARNER_PROMOTED)
                    .with(LogField.MEMBER, promoted.member().value())
                    .with(LogField.ELAPSED_MS, promoted.elapsedMs())
                    .write());
  }

  private void leadershipChanged(ControlAction.LeadershipChanged changed) {
    serving = changed.serving();
    leaderKnown = changed.serving() || changed.leader().isPresent();
    targets.group().leader(changed.leader());
    targets.metrics().setLeadership(changed.serving(), changed.term());
    String leader = changed.leader().map(Object::toString).orElse("none");
    targets.log().ifPresent(log -> write(log, changed, leader));
    logger.info(
        "Leadership changed: term "
            + changed.term()
            + ", leader "
            + leader
            + ", serving "
            + serving
            + ".");
    if (!serving) {
      leaseGuarded.clear();
      if (closing) {
        transferEnded.countDown();
      }
    }
  }

  private void held(ControlAction.RequestQuarantined held) {
    targets.metrics().setQuarantinedRequests(held.quarantinedCount());
    targets
        .log()
        .ifPresent(
            log ->
                quarantineLine(log, LogEvent.REQUEST_HELD, held.request(), held.customer())
                    .with(LogField.LOSSES, held.losses())
                    .write());
    logger.info(
        "Quarantined request "
            + held.request().text()
            + ": "
            + held.losses()
            + " upstream(s) lost while processing it.");
  }

  private void undecided(ControlAction.RequestUndecided undecided) {
    targets
        .log()
        .ifPresent(
            log ->
                quarantineLine(
                        log, LogEvent.REQUEST_UNDECIDED, undecided.request(), undecided.customer())
                    .with(LogField.LOSSES, undecided.losses())
                    .write());
  }

  private void released(ControlAction.RequestReleased released) {
    targets.metrics().setQuarantinedRequests(released.quarantinedCount());
    targets
        .log()
        .ifPresent(
            log ->
                quarantineLine(
                        log, LogEvent.REQUEST_RELEASED, released.request(), released.customer())
                    .write());
    logger.info("Released request " + released.request().text() + " from quarantine.");
  }

  private void turned(ControlAction.RolloutPhaseChanged turned) {
    Rollout rollout = turned.rollout();
    targets.metrics().countRolloutPhase(rollout.phase());
    targets.log().ifPresent(log -> writePhaseChange(log, turned));
    logger.info(
        "Rollout of "
            + rollout.order().service()
            + " to "
            + rollout.order().to()
            + ": "
            + rollout.phase()
            + ", "
            + rollout.reason()
            + ".");
  }

  private static void writePhaseChange(EventLog log, ControlAction.RolloutPhaseChanged turned) {
    Rollout rollout = turned.rollout();
    EventLog.Line line =
        log.line(LogEvent.ROLLOUT_TURNED)
            .with(LogField.SERVICE, rollout.order().service().value())
            .with(LogField.UPSTREAM_VERSION, rollout.order().to().value())
            .with(LogField.PHASE, rollout.phase().name())
            .with(LogField.REASON, rollout.reason().name())
            .with(LogField.LENT, rollout.account().lent())
            .with(LogField.REACHED, rollout.account().reached());
    turned.verdict().ifPresent(verdict -> addVerdict(line, verdict));
    line.write();
  }

  private static void addVerdict(EventLog.Line line, Verdict verdict) {
    verdict.route().ifPresent(route -> line.with(LogField.ROUTE, route.value()));
    line.with(LogField.ANSWERS, verdict.ordered().answers())
        .with(LogField.BAD_ANSWERS, verdict.ordered().bad())
        .with(LogField.ANSWERS_BEFORE, verdict.before().answers())
        .with(LogField.BAD_ANSWERS_BEFORE, verdict.before().bad());
  }

  private static EventLog.Line quarantineLine(
      EventLog log, LogEvent event, Fingerprint request, Optional<CustomerId> customer) {
    EventLog.Line line = log.line(event).with(LogField.FINGERPRINT, request.text());
    customer.ifPresent(known -> line.with(LogField.CUSTOMER, known.value()));
    return line;
  }

  private void log(Decision decision) {
    targets.metrics().countDecision(decision.kind());
    decisions
        .line(decision.kind().name().toLowerCase(Locale.ROOT))
        .with("request", decision.request())
        .with("customer", decision.customer())
        .with("tier", decision.tier())
        .with("upstream", decision.upstream())
        .reason(decision.reason())
        .write();
  }
}
