package org.teaseltrail.core.schedule.ticket;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;

/** Knows every ticket from its offer to its end, and for a while those that have ended. */
public final class TicketRegistry {

  private final Map<RequestId, TrackedTicket> tickets = new LinkedHashMap<>();
  private final EndedRequestCache ended;

  /** Creates an empty book that remembers ended requests for the time given in nanoseconds. */
  public TicketRegistry(long endedKeepNs) {
    this.ended = new EndedRequestCache(endedKeepNs);
  }

  /** Returns the ticket of a request that has not ended. */
  public Optional<TrackedTicket> find(RequestId request) {
    return Optional.ofNullable(tickets.get(request));
  }

  /** Returns whether a request is known as ended. */
  public boolean hasEnded(RequestId request) {
    return ended.contains(request);
  }

  /** Returns what a request that was given up has been told. */
  public Optional<ControlMessage.Refused> refusal(RequestId request) {
    return ended.refusal(request);
  }

  /** Adds a ticket. */
  public void add(TrackedTicket ticket) {
    tickets.put(ticket.request(), ticket);
  }

  /** Takes out a ticket whose request may be offered again. */
  public void remove(TrackedTicket ticket) {
    tickets.remove(ticket.request());
  }

  /** Takes out a request for good: no offer of it is taken any more. */
  public void end(RequestId request, long nowNs) {
    tickets.remove(request);
    ended.add(request, Optional.empty(), nowNs);
  }

  /** Takes out a request that was given up, and keeps what it was told. */
  public void refuse(ControlMessage.Refused refusal, long nowNs) {
    tickets.remove(refusal.request());
    ended.add(refusal.request(), Optional.of(refusal), nowNs);
  }

  /** Returns the tickets of a VM that aren't granted. */
  public List<TrackedTicket> notGrantedOf(VmId vm) {
    return tickets.values().stream()
        .filter(t -> t.vm().equals(vm) && t.phase() != TicketPhase.GRANTED)
        .toList();
  }

  /** Returns all tickets that wait. */
  public List<TrackedTicket> waiting() {
    return tickets.values().stream().filter(TrackedTicket::isWaiting).toList();
  }

  /** Forgets ended requests that are old enough. */
  public void expire(long nowNs) {
    ended.expire(nowNs);
  }
}
