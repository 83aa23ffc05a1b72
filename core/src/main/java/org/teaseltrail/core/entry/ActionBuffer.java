package org.teaseltrail.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.request.Request;
import org.teaseltrail.core.request.UpstreamTarget;

/** Buffers the actions of one event in order. */
final class ActionBuffer {

  private List<EntryAction> actions = new ArrayList<>();

  void add(EntryAction action) {
    actions.add(action);
  }

  void log(EntryDecisionKind kind, Request request, String reason) {
    Ticket ticket = request.ticket();
    add(
        new EntryAction.Log(
            new EntryDecision(
                kind,
                Optional.of(ticket.request()),
                Optional.of(ticket.customer()),
                Optional.of(ticket.tier()),
                request.target().map(UpstreamTarget::upstream),
                reason)));
  }

  void log(EntryDecisionKind kind, Optional<UpstreamId> upstream, String reason) {
    add(
        new EntryAction.Log(
            new EntryDecision(
                kind, Optional.empty(), Optional.empty(), Optional.empty(), upstream, reason)));
  }

  List<EntryAction> drain() {
    List<EntryAction> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }
}
