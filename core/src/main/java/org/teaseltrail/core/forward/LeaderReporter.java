package org.teaseltrail.core.forward;

import java.util.List;
import java.util.function.Consumer;
import org.teaseltrail.core.serving.QueueState;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.suspect.QuarantineTracker;

/**
 * Reports to the leader, in addition to syncs, the state of this VM that its decisions for all VMs
 * depend on.
 */
final class LeaderReporter {

  private final ControlClient controlClient;
  private final UpstreamTracker upstreams;
  private final SlotGrantTracker slots;
  private final DealtSlotFilter dealtSlots;
  private final RequestCoordinator requests;
  private final QuarantineTracker quarantine;
  private final VersionRouter versionRouter;
  private final RateLimitClient limits;
  private final ConditionEstimator conditions;
  private final UpstreamPaths paths;
  private final PeerAnnouncer announcer;
  private final RejectionLimitTracker rejectionLimits;
  private final Consumer<ForwardAction> actions;
  private long reportedChanges;
  private long reportedGrants;
  private boolean isQueueReported;
  private boolean isResendDue;

  LeaderReporter(
      ControlClient controlClient,
      UpstreamTracker upstreams,
      SlotGrantTracker slots,
      DealtSlotFilter dealtSlots,
      RequestCoordinator requests,
      QuarantineTracker quarantine,
      VersionRouter versionRouter,
      RateLimitClient limits,
      ConditionEstimator conditions,
      UpstreamPaths paths,
      PeerAnnouncer announcer,
      RejectionLimitTracker rejectionLimits,
      Consumer<ForwardAction> actions) {
    this.controlClient = controlClient;
    this.upstreams = upstreams;
    this.slots = slots;
    this.dealtSlots = dealtSlots;
    this.requests = requests;
    this.quarantine = quarantine;
    this.versionRouter = versionRouter;
    this.limits = limits;
    this.conditions = conditions;
    this.paths = paths;
    this.announcer = announcer;
    this.rejectionLimits = rejectionLimits;
    this.actions = actions;
  }

  /** Sends the reports that go with a sync. */
  void reportWithSync(long nowNs) {
    isResendDue = isQueueReported;
    quarantine.scheduleResend(false, nowNs);
    versionRouter
        .createReport(controlClient.session().newestFencing(), nowNs)
        .flatMap(report -> controlClient.messageToLeader(report, nowNs))
        .ifPresent(actions);
    if (controlClient.hasLeader(nowNs)) {
      rejectionLimits
          .createReport(nowNs)
          .flatMap(report -> controlClient.messageToLeader(report, nowNs))
          .ifPresent(actions);
      announcer
          .createAnnouncement(controlClient.session().newestFencing(), paths.lostServices(), nowNs)
          .flatMap(report -> controlClient.messageToLeader(report, nowNs))
          .ifPresent(actions);
      limits
          .createReport(controlClient.session().newestFencing(), requests.lines(), nowNs)
          .flatMap(report -> controlClient.messageToLeader(report, nowNs))
          .ifPresent(actions);
      reportConditions(nowNs);
    }
  }

  /** Reports changes of the queues, and losses of upstreams. */
  void reportChanges(long nowNs) {
    reportQueues(nowNs);
    if (conditions.isReportDue(nowNs) && controlClient.hasLeader(nowNs)) {
      reportConditions(nowNs);
    }
    if (quarantine.hasPendingReport() && controlClient.hasLeader(nowNs)) {
      controlClient.messageToLeader(quarantine.createReport(nowNs), nowNs).ifPresent(actions);
    }
  }

  private void reportConditions(long nowNs) {
    conditions
        .createReport(controlClient.vm(), controlClient.session().newestFencing(), nowNs)
        .flatMap(report -> controlClient.messageToLeader(report, nowNs))
        .ifPresent(actions);
  }

  private void reportQueues(long nowNs) {
    boolean changed = requests.changes() != reportedChanges;
    if (!changed && !isResendDue) {
      return;
    }
    List<QueueState> lines = requests.lines().queueStates(nowNs);
    boolean hasNewGrants = slots.grantsSeen() != reportedGrants;
    if (!lines.isEmpty() || slots.hasContendedService() || isQueueReported || hasNewGrants) {
      reportedGrants = slots.grantsSeen();
      reportedChanges = requests.changes();
      isResendDue = false;
      isQueueReported = lines.stream().anyMatch(line -> dealtSlots.appliesTo(line.service()));
      ServingMessage.Lines message =
          new ServingMessage.Lines(
              controlClient.vm(),
              slots.grantsSeen(),
              upstreams.inFlight(),
              upstreams.unread(),
              requests.held(),
              lines);
      controlClient.messageToLeader(message, nowNs).ifPresent(actions);
    }
  }
}
