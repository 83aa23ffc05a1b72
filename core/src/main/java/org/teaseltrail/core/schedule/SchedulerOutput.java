package org.teaseltrail.core.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.decision.Decision;
import org.teaseltrail.core.decision.DecisionKind;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.schedule.fleet.InFlightRequest;
import org.teaseltrail.core.schedule.fleet.TrackedUpstream;
import org.teaseltrail.core.schedule.ticket.TrackedTicket;
import org.teaseltrail.core.upstream.Announcement;

/** Collects the actions that result from one event, with a log entry for each decision. */
final class SchedulerOutput {

  private final FencingNumber fencing;
  private List<SchedulerAction> actions = new ArrayList<>();

  SchedulerOutput(FencingNumber fencing) {
    this.fencing = fencing;
  }

  /** Returns the actions collected since the last call. */
  List<SchedulerAction> takeActions() {
    List<SchedulerAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }

  void grant(InFlightRequest part, String reason) {
    sendGrant(part);
    log(DecisionKind.GRANT, part.trackedTicket(), Optional.of(part.upstreamId()), reason);
  }

  /** Sends a grant. Also used to resend an outstanding grant unchanged. */
  void sendGrant(InFlightRequest part) {
    Announcement announcement = part.announcement();
    ControlMessage.Grant grant =
        new ControlMessage.Grant(
            part.request(),
            part.upstreamId(),
            announcement.incarnation(),
            announcement.address(),
            fencing);
    send(part.vm(), grant);
  }

  /** Recalls a grant whose upstream no longer serves: its VM is to return it undispatched. */
  void recall(InFlightRequest part) {
    send(part.vm(), new ControlMessage.Recall(part.request(), part.upstreamId(), fencing));
  }

  void send(VmId vm, ControlMessage message) {
    actions.add(new SchedulerAction.Send(vm, message));
  }

  void commitClaim(TrackedTicket ticket, TrackedUpstream upstream, String reason) {
    actions.add(new SchedulerAction.CommitClaim(ticket.vm(), ticket.ticket(), upstream.id()));
    log(DecisionKind.GRANT, ticket, Optional.of(upstream.id()), "claim=asked " + reason);
  }

  /** Releases the claim of a ticket that did not run, if it carries one. */
  void releaseClaim(TrackedTicket ticket) {
    if (ticket.ticket().claim().isPresent()) {
      actions.add(new SchedulerAction.ReleaseClaim(ticket.request()));
    }
  }

  void refuse(TrackedTicket ticket, ControlMessage.Refused refused, String reason) {
    releaseClaim(ticket);
    send(ticket.vm(), refused);
    RefusalKind kind = refused.kind();
    DecisionKind decision =
        kind == RefusalKind.SHED || kind == RefusalKind.SHARE_LIMIT
            ? DecisionKind.SHED
            : DecisionKind.REFUSE;
    String retry = " retry_after_ms=" + refused.retryAfterMs();
    log(decision, ticket, Optional.empty(), "kind=" + kind + retry + " " + reason);
  }

  void regrant(TrackedTicket ticket, TrackedUpstream upstream, String reason) {
    log(DecisionKind.REGRANT, ticket, Optional.of(upstream.id()), reason);
  }

  void upstream(UpstreamId upstream, String reason) {
    Decision decision =
        new Decision(
            DecisionKind.UPSTREAM,
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.of(upstream),
            reason);
    actions.add(new SchedulerAction.Log(decision));
  }

  private void log(
      DecisionKind kind, TrackedTicket ticket, Optional<UpstreamId> upstream, String reason) {
    Decision decision =
        new Decision(
            kind,
            Optional.of(ticket.request()),
            Optional.of(ticket.ticket().customer()),
            Optional.of(ticket.tier()),
            upstream,
            reason);
    actions.add(new SchedulerAction.Log(decision));
  }
}
