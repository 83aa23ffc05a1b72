package org.teaseltrail.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.teaseltrail.core.decision.Decision;
import org.teaseltrail.core.entry.EntryAction;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Ticket;

/** Records the message flow of a session, except periodic messages. */
final class Trace {

  private final Timeline timeline;
  private final List<String> lines = new ArrayList<>();
  private boolean on;
  private long startNs;

  Trace(Timeline timeline) {
    this.timeline = timeline;
  }

  void start() {
    on = true;
    startNs = timeline.nowNs();
  }

  String text() {
    return String.join("\n", lines) + "\n";
  }

  void addLine(String source, String text) {
    if (on) {
      double ms = (double) (timeline.nowNs() - startNs) / Timeline.MS;
      lines.add(String.format(Locale.ROOT, "%9.1f  %s: %s", ms, source, text));
    }
  }

  void addEntryAction(EntryProcess entry, EntryAction action) {
    if (action instanceof EntryAction.SendControl send) {
      message(send.message())
          .ifPresent(text -> addLine(entry.name(), "to " + send.member() + " " + text));
    } else if (isTracedElsewhere(action)) {
      return;
    } else if (action instanceof EntryAction.Connect connect) {
      addLine(
          entry.name(), "connects to " + connect.target().upstream() + " for " + connect.request());
    } else {
      addLine(entry.name(), action.toString());
    }
  }

  private static boolean isTracedElsewhere(EntryAction action) {
    return action instanceof EntryAction.Deliver
        || action instanceof EntryAction.Conclude
        || action instanceof EntryAction.Log
        || action instanceof EntryAction.AnswerUpstream;
  }

  private static Optional<String> message(EntryMessage message) {
    boolean isPeriodic =
        message instanceof EntryMessage.Hello
            || message instanceof EntryMessage.UpstreamSeen
            || message instanceof EntryMessage.CacheSeen
            || message instanceof EntryMessage.Progress;
    if (isPeriodic) {
      return Optional.empty();
    }
    if (message instanceof EntryMessage.Offer offer) {
      return Optional.of("Offer " + summary(offer.ticket()));
    }
    if (message instanceof EntryMessage.StillRunning running) {
      return Optional.of(
          "StillRunning " + summary(running.ticket()) + " upstream=" + running.upstream());
    }
    return Optional.of(message.toString());
  }

  private static String summary(Ticket ticket) {
    return ticket.request()
        + " tier="
        + ticket.tier()
        + " prompt="
        + ticket.promptTokens()
        + " output="
        + ticket.expectedOutputTokens()
        + " waited_ms="
        + ticket.waitedMs()
        + ticket.claim().map(claim -> " key=" + claim.key()).orElse("");
  }

  void addControlMessage(ControlProcess member, VmId vm, ControlMessage message) {
    if (message instanceof ControlMessage.Welcome) {
      return;
    }
    String text =
        message instanceof ControlMessage.ConfigurationUpdate update
            ? "ConfigurationUpdate revision=" + update.configuration().revision()
            : message.toString();
    addLine(member.name(), "to " + vm + " " + text);
  }

  void decision(ControlProcess member, Decision decision) {
    String request = decision.request().map(id -> " " + id).orElse("");
    String tier = decision.tier().map(rank -> " tier=" + rank).orElse("");
    String upstream = decision.upstream().map(id -> " " + id).orElse("");
    addLine(member.name(), "decides " + decision.kind() + request + tier + upstream);
  }
}
