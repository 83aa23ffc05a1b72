package org.teaseltrail.core.schedule.ticket;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;

/** The registry of all tickets from their offer to their end, and of recently ended requests. */
public final class TicketRegistry {

  private final Map<RequestId, TrackedTicket> tickets = new LinkedHashMap<>();
  private final EndedRequestCache ended;

  /** Creates an empty registry with a retention time of ended requests in nanoseconds. */
  public TicketRegistry(long endedRetentionNs) {
    this.ended = new EndedRequestCache(endedRetentionNs);
  }

  /** Returns the ticket of a request that has not ended. */
  public Optional<TrackedTicket> find(RequestId request) {
    return Optional.ofNullable(tickets.get(request));
  }

  /** Returns whether a request has ended within the retention time. */
  public boolean hasEnded(RequestId request) {
    return ended.contains(request);
  }

  /** Returns the refusal that was sent for a request, if it was refused. */
  public Optional<ControlMessage.Refused> refusal(RequestId request) {
    return ended.refusal(request);
  }

  /** Adds a ticket. */
  public void add(TrackedTicket ticket) {
    tickets.put(ticket.request(), ticket);
  }

  /** Removes a ticket whose request may be offered again. */
  public void remove(TrackedTicket ticket) {
    tickets.remove(ticket.request());
  }

  /** Removes a request and records it as ended, so that further offers of it are ignored. */
  public void end(RequestId request, long nowNs) {
    tickets.remove(request);
    ended.add(request, Optional.empty(), nowNs);
  }

  /** Removes a refused request and records its refusal. */
  public void refuse(ControlMessage.Refused refusal, long nowNs) {
    tickets.remove(refusal.request());
    ended.add(refusal.request(), Optional.of(refusal), nowNs);
  }

  /** Returns the tickets of a VM that are not granted. */
  public List<TrackedTicket> notGrantedOf(VmId vm) {
    return tickets.values().stream()
        .filter(t -> t.vm().equals(vm) && t.phase() != TicketPhase.GRANTED)
        .toList();
  }

  /** Returns all waiting tickets. */
  public List<TrackedTicket> waiting() {
    return tickets.values().stream().filter(TrackedTicket::isWaiting).toList();
  }

  /** Removes the ended requests whose retention time has passed. */
  public void expire(long nowNs) {
    ended.expire(nowNs);
  }
}
