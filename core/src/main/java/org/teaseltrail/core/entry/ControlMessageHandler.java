package org.teaseltrail.core.entry;

import java.util.Optional;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.request.Request;
import org.teaseltrail.core.request.RequestState;
import org.teaseltrail.core.request.UpstreamTarget;

/**
 * Handles messages from control members, and reports all waiting and running requests to a new
 * leader.
 */
final class ControlMessageHandler {

  private final EntryComponents parts;
  private final Dispatcher dispatcher;

  ControlMessageHandler(EntryComponents parts, Dispatcher dispatcher) {
    this.parts = parts;
    this.dispatcher = dispatcher;
  }

  void received(MemberId member, ControlMessage message, long nowNs) {
    parts.session.messageReceived(member, nowNs);
    if (message instanceof ControlMessage.Welcome welcome) {
      welcomed(member, welcome, nowNs);
    } else if (message instanceof ControlMessage.NotLeader) {
      parts.session.notLeader(member);
    } else if (message instanceof ControlMessage.ConfigurationUpdate update) {
      configured(update);
    } else if (message instanceof ControlMessage.Grant grant) {
      dispatcher.granted(member, grant, nowNs);
    } else if (message instanceof ControlMessage.Recall recall) {
      dispatcher.recalled(member, recall);
    } else if (message instanceof ControlMessage.Refused refused) {
      dispatcher.refused(refused);
    } else if (message instanceof ControlMessage.ClaimExists claim) {
      dispatcher.claimExists(claim, nowNs);
    }
  }

  private void welcomed(MemberId member, ControlMessage.Welcome welcome, long nowNs) {
    boolean wasInReach = parts.session.isSchedulerReachable(nowNs);
    Optional<ControlConnection> accepted = parts.session.welcomed(welcome, member, nowNs);
    if (accepted.isEmpty()) {
      return;
    }
    ControlConnection connection = accepted.get();
    boolean report =
        !wasInReach
            || connection.needsReports(
                welcome.fencing(), welcome.reportsWanted(), welcome.sequence());
    if (report) {
      reportAll(connection, welcome, nowNs);
    }
    parts.endedReports.confirm(connection, welcome.sequence());
    parts.quarantine.welcomed(welcome, nowNs);
    dispatcher.withdrawQuarantined(nowNs);
  }

  private void reportAll(ControlConnection connection, ControlMessage.Welcome welcome, long nowNs) {
    parts.upstreams.validAnnouncements(nowNs).forEach(parts.session::sendToLeader);
    parts.requests.all().forEach(request -> reportOne(request, nowNs));
    parts.endedReports.resendAll();
    parts.session.sendToLeader(
        new EntryMessage.ReportsComplete(parts.settings.vm(), welcome.fencing()));
    connection.reported(welcome.fencing(), parts.session.helloSequence());
    parts.actions.log(
        EntryDecisionKind.SESSION,
        Optional.empty(),
        "leader="
            + welcome.member()
            + " fencing="
            + welcome.fencing()
            + " reported="
            + parts.requests.size());
  }

  private void reportOne(Request request, long nowNs) {
    if (request.state().isWaiting()) {
      request.markOffered();
      parts.session.sendToLeader(new EntryMessage.Offer(request.ticketAt(nowNs)));
    } else if (!request.isAdopted() && request.state() != RequestState.ENDED) {
      UpstreamTarget target = request.target().orElseThrow();
      parts.session.sendToLeader(
          new EntryMessage.StillRunning(
              request.ticketAt(nowNs),
              target.upstream(),
              request.usageSoFar().outputTokens(),
              request.sinceDispatchMs(nowNs)));
    }
  }

  private void configured(ControlMessage.ConfigurationUpdate update) {
    if (!parts.session.isCurrentLeadership(update.fencing())) {
      log(update, "passed-over-old-leadership");
      return;
    }
    parts.session.observeFencing(update.fencing());
    if (parts.configuration.apply(update.configuration())) {
      log(update, "applied");
    }
    parts.session.confirmIfApplied();
  }

  private void log(ControlMessage.ConfigurationUpdate update, String verdict) {
    parts.actions.log(
        EntryDecisionKind.CONFIGURATION,
        Optional.empty(),
        "revision="
            + update.configuration().revision()
            + " fencing="
            + update.fencing()
            + " verdict="
            + verdict);
  }
}
