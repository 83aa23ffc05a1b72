package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.claim.ClaimKey;
import org.teaseltrail.core.claim.ClaimRecord;
import org.teaseltrail.core.claim.ClaimStore;
import org.teaseltrail.core.claim.OpenClaimResult;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.Claim;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.replication.ProposalRejection;
import org.teaseltrail.core.schedule.SchedulerAction.CommitClaim;
import org.teaseltrail.core.schedule.SchedulerEvent;
import org.teaseltrail.core.state.Command;
import org.teaseltrail.core.state.CommandResult;

/**
 * Brings requests with a key together with the claims of the log: no grant of such a request goes
 * out before its claim is committed, and a later request under the key learns of the first.
 */
final class ClaimCoordinator {

  /** When a caller may come back after the claims were full. */
  private static final long FULL_RETRY_MS = 10_000;

  private final Leadership leadership;

  ClaimCoordinator(Leadership leadership) {
    this.leadership = leadership;
  }

  /**
   * Looks a ticket's key up before the ticket is queued.
   *
   * @return whether the ticket may be queued; otherwise its VM was answered
   */
  boolean admit(VmId vm, Ticket ticket, long nowNs) {
    if (ticket.claim().isEmpty()) {
      return true;
    }
    Claim claim = ticket.claim().get();
    ClaimKey key = new ClaimKey(ticket.customer(), claim.key());
    Optional<ClaimRecord> committed = book().find(key);
    if (committed.isPresent()) {
      return admit(vm, ticket, committed.get(), nowNs);
    }
    Optional<TrackedRequest> first = leadership.requests().findByKey(key);
    if (first.isEmpty() || first.get().request().equals(ticket.request())) {
      return true;
    }
    answerWaiting(vm, ticket.request(), claim, first.get());
    return false;
  }

  private boolean admit(VmId vm, Ticket ticket, ClaimRecord committed, long nowNs) {
    if (committed.holder().equals(ticket.request()) && !committed.isFinished()) {
      // The VM offers only what it has not dispatched: the leader before committed the claim and
      // was lost before its grant came. The holder is granted again.
      return true;
    }
    if (committed.bodyDigest().equals(ticket.claim().orElseThrow().bodyDigest())) {
      adopt(vm, committed, nowNs);
    }
    answerHeld(vm, ticket, committed, nowNs);
    return false;
  }

  /** Commits a claim; the scheduler hears what became of it. */
  void commit(CommitClaim wish, long nowNs) {
    Ticket ticket = wish.ticket();
    Claim claim = ticket.claim().orElseThrow();
    Command.OpenClaim command =
        new Command.OpenClaim(
            new ClaimKey(ticket.customer(), claim.key()),
            claim.bodyDigest(),
            claim.nonIdempotent(),
            ticket.request(),
            wish.vm(),
            wish.upstream(),
            leadership.logTimeMs(nowNs));
    leadership.propose(
        command,
        new ProposalCallback() {
          @Override
          public void committed(CommandResult result, long thenNs) {
            opened(wish, ((CommandResult.OfOpen) result).result(), thenNs);
          }

          @Override
          public void rejected(ProposalRejection reason, long thenNs) {
            leadership.retryLater(() -> commit(wish, leadership.nowNs()));
          }
        },
        nowNs);
  }

  /**
   * Releases the claim of a request that did not run, then goes on.
   *
   * <p>A caller that is told "not run" may come back at once with its key. If the release were
   * still under way it would meet its own dead claim, so the answer waits for the release.
   */
  void release(RequestId request, Runnable afterwards, long nowNs) {
    Optional<ClaimRecord> held = book().byHolder(request).filter(claim -> !claim.isFinished());
    if (held.isPresent()) {
      release(request, held.get().attempt(), afterwards, nowNs);
    } else {
      afterwards.run();
    }
  }

  /**
   * Releases one grant's claim. A release that has to be tried again still names the grant of its
   * first try: by then the request may be granted anew and run, and its key must stay taken.
   */
  private void release(RequestId request, int attempt, Runnable afterwards, long nowNs) {
    Command.ReleaseClaim command =
        new Command.ReleaseClaim(request, attempt, leadership.logTimeMs(nowNs));
    leadership.propose(
        command,
        new ProposalCallback() {
          @Override
          public void committed(CommandResult result, long thenNs) {
            afterwards.run();
          }

          @Override
          public void rejected(ProposalRejection reason, long thenNs) {
            leadership.retryLater(() -> release(request, attempt, afterwards, leadership.nowNs()));
          }
        },
        nowNs);
  }

  /** Notes the end of a request that holds a claim. */
  void ended(RequestId request, EndKind kind, long nowNs) {
    Optional<ClaimRecord> held = book().byHolder(request);
    if (held.isEmpty() || held.get().state() == ClaimState.COMPLETED) {
      return;
    }
    Command.CompleteClaim command =
        new Command.CompleteClaim(request, kind, leadership.logTimeMs(nowNs));
    leadership.propose(command, retrying(() -> ended(request, kind, leadership.nowNs())), nowNs);
  }

  private void opened(CommitClaim wish, OpenClaimResult result, long nowNs) {
    Ticket ticket = wish.ticket();
    RequestId request = ticket.request();
    if (result instanceof OpenClaimResult.Opened opened) {
      boolean granted =
          leadership.deliver(
              ticket.pool(), request, new SchedulerEvent.ClaimGranted(request), nowNs);
      if (!granted) {
        // The request was withdrawn or its VM lapsed while the claim was under way: it never ran,
        // and without this its key would stay taken until the claim's retention ends.
        release(request, opened.claim().attempt(), () -> {}, nowNs);
      }
      return;
    }
    leadership.deliver(ticket.pool(), request, new SchedulerEvent.ClaimDenied(request), nowNs);
    if (result instanceof OpenClaimResult.Held held) {
      answerHeld(wish.vm(), ticket, held.claim(), nowNs);
    } else if (result instanceof OpenClaimResult.DigestConflict) {
      leadership.refuse(wish.vm(), request, RefusalKind.KEY_CONFLICT, 0);
    } else {
      leadership.refuse(wish.vm(), request, RefusalKind.CLAIMS_FULL, FULL_RETRY_MS);
    }
  }

  private void answerHeld(VmId vm, Ticket ticket, ClaimRecord held, long nowNs) {
    boolean same = held.bodyDigest().equals(ticket.claim().orElseThrow().bodyDigest());
    if (!same) {
      leadership.refuse(vm, ticket.request(), RefusalKind.KEY_CONFLICT, 0);
      return;
    }
    UpstreamId upstream = held.upstream();
    leadership.claimExists(
        vm,
        new ControlMessage.ClaimExists(
            ticket.request(),
            held.holder(),
            held.state(),
            Optional.of(upstream),
            leadership.announcements().find(upstream, nowNs).map(seen -> seen.address())));
  }

  private void answerWaiting(VmId vm, RequestId request, Claim claim, TrackedRequest first) {
    if (!first.bodyDigest().equals(claim.bodyDigest())) {
      leadership.refuse(vm, request, RefusalKind.KEY_CONFLICT, 0);
      return;
    }
    leadership.claimExists(
        vm,
        new ControlMessage.ClaimExists(
            request, first.request(), ClaimState.WAITING, Optional.empty(), Optional.empty()));
  }

  /** Lets the asking VM take the answer over if the VM that had it is gone. */
  private void adopt(VmId vm, ClaimRecord held, long nowNs) {
    if (held.isFinished() || held.vm().equals(vm) || leadership.canBeAlive(held.vm(), nowNs)) {
      return;
    }
    Command.AdoptClaim command =
        new Command.AdoptClaim(held.holder(), vm, leadership.logTimeMs(nowNs));
    leadership.propose(command, retrying(() -> {}), nowNs);
  }

  private ProposalCallback retrying(Runnable again) {
    return new ProposalCallback() {
      @Override
      public void committed(CommandResult result, long thenNs) {}

      @Override
      public void rejected(ProposalRejection reason, long thenNs) {
        leadership.retryLater(again);
      }
    };
  }

  private ClaimStore book() {
    return leadership.claims();
  }
}
