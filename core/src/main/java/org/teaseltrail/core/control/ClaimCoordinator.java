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
 * Coordinates requests that carry an idempotency key with the claims in the replicated log. A grant
 * for such a request is sent only after its claim is committed, and a later request with the same
 * key is answered with the state of the first.
 */
final class ClaimCoordinator {

  /** Retry delay sent to callers when the claim store is full. */
  private static final long FULL_RETRY_MS = 10_000;

  private final Leadership leadership;

  ClaimCoordinator(Leadership leadership) {
    this.leadership = leadership;
  }

  /**
   * Checks a ticket's idempotency key before the ticket is queued.
   *
   * @return whether the ticket may be queued; otherwise its VM has been answered
   */
  boolean admit(VmId vm, Ticket ticket, long nowNs) {
    if (ticket.claim().isEmpty()) {
      return true;
    }
    Claim claim = ticket.claim().get();
    ClaimKey key = new ClaimKey(ticket.customer(), claim.key());
    Optional<ClaimRecord> committed = claimStore().find(key);
    if (committed.isPresent()) {
      return admit(vm, ticket, committed.get(), nowNs);
    }
    Optional<TrackedRequest> first = leadership.requests().findByKey(key);
    if (first.isEmpty() || first.get().request().equals(ticket.request())) {
      return true;
    }
    replyClaimWaiting(vm, ticket.request(), claim, first.get());
    return false;
  }

  private boolean admit(VmId vm, Ticket ticket, ClaimRecord committed, long nowNs) {
    if (committed.holder().equals(ticket.request()) && !committed.isFinished()) {
      // The VM offers only requests that it has not dispatched: the previous leader committed the
      // claim and failed before its grant reached the VM. The holder is granted again.
      return true;
    }
    if (committed.bodyDigest().equals(ticket.claim().orElseThrow().bodyDigest())) {
      takeOver(vm, committed, nowNs);
    }
    replyClaimHeld(vm, ticket, committed, nowNs);
    return false;
  }

  /** Commits a claim and reports the result to the pool's scheduler. */
  void commit(CommitClaim commitRequest, long nowNs) {
    Ticket ticket = commitRequest.ticket();
    Claim claim = ticket.claim().orElseThrow();
    Command.OpenClaim command =
        new Command.OpenClaim(
            new ClaimKey(ticket.customer(), claim.key()),
            claim.bodyDigest(),
            claim.nonIdempotent(),
            ticket.request(),
            commitRequest.vm(),
            commitRequest.upstream(),
            leadership.logTimeMs(nowNs));
    leadership.propose(
        command,
        new ProposalCallback() {
          @Override
          public void committed(CommandResult result, long outcomeNs) {
            onOpened(commitRequest, ((CommandResult.OpenClaimOutcome) result).result(), outcomeNs);
          }

          @Override
          public void rejected(ProposalRejection reason, long outcomeNs) {
            leadership.retryLater(() -> commit(commitRequest, leadership.nowNs()));
          }
        },
        nowNs);
  }

  /**
   * Releases the claim of a request that was not run, then runs the next step.
   *
   * <p>A caller that receives "not run" may retry at once with the same key. If the release were
   * still in flight, the retry would collide with the caller's own obsolete claim, so the answer is
   * sent after the release is committed.
   */
  void release(RequestId request, Runnable onReleased, long nowNs) {
    Optional<ClaimRecord> held =
        claimStore().byHolder(request).filter(claim -> !claim.isFinished());
    if (held.isPresent()) {
      release(request, held.get().attempt(), onReleased, nowNs);
    } else {
      onReleased.run();
    }
  }

  /**
   * Releases the claim of one grant. A retried release still names the attempt of the original
   * release: by then the request may have been granted again and be running, and its key must stay
   * claimed.
   */
  private void release(RequestId request, int attempt, Runnable onReleased, long nowNs) {
    Command.ReleaseClaim command =
        new Command.ReleaseClaim(request, attempt, leadership.logTimeMs(nowNs));
    leadership.propose(
        command,
        new ProposalCallback() {
          @Override
          public void committed(CommandResult result, long outcomeNs) {
            onReleased.run();
          }

          @Override
          public void rejected(ProposalRejection reason, long outcomeNs) {
            leadership.retryLater(() -> release(request, attempt, onReleased, leadership.nowNs()));
          }
        },
        nowNs);
  }

  /** Completes the claim of a request that has ended, if it holds one. */
  void ended(RequestId request, EndKind kind, long nowNs) {
    Optional<ClaimRecord> held = claimStore().byHolder(request);
    if (held.isEmpty() || held.get().state() == ClaimState.COMPLETED) {
      return;
    }
    Command.CompleteClaim command =
        new Command.CompleteClaim(request, kind, leadership.logTimeMs(nowNs));
    leadership.propose(
        command, retryOnRejection(() -> ended(request, kind, leadership.nowNs())), nowNs);
  }

  private void onOpened(CommitClaim commitRequest, OpenClaimResult result, long nowNs) {
    Ticket ticket = commitRequest.ticket();
    RequestId request = ticket.request();
    if (result instanceof OpenClaimResult.Opened opened) {
      boolean granted =
          leadership.deliver(
              ticket.pool(), request, new SchedulerEvent.ClaimGranted(request), nowNs);
      if (!granted) {
        // The request was withdrawn or its VM's session expired while the claim was in flight. It
        // was never run; without this release its key would stay claimed until the claim's
        // retention ends.
        release(request, opened.claim().attempt(), () -> {}, nowNs);
      }
      return;
    }
    leadership.deliver(ticket.pool(), request, new SchedulerEvent.ClaimDenied(request), nowNs);
    if (result instanceof OpenClaimResult.Held held) {
      replyClaimHeld(commitRequest.vm(), ticket, held.claim(), nowNs);
    } else if (result instanceof OpenClaimResult.DigestConflict) {
      leadership.refuse(commitRequest.vm(), request, RefusalKind.KEY_CONFLICT, 0);
    } else {
      leadership.refuse(commitRequest.vm(), request, RefusalKind.CLAIMS_FULL, FULL_RETRY_MS);
    }
  }

  private void replyClaimHeld(VmId vm, Ticket ticket, ClaimRecord held, long nowNs) {
    boolean isSameDigest = held.bodyDigest().equals(ticket.claim().orElseThrow().bodyDigest());
    if (!isSameDigest) {
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
            leadership
                .announcements()
                .find(upstream, nowNs)
                .map(announced -> announced.address())));
  }

  private void replyClaimWaiting(VmId vm, RequestId request, Claim claim, TrackedRequest first) {
    if (!first.bodyDigest().equals(claim.bodyDigest())) {
      leadership.refuse(vm, request, RefusalKind.KEY_CONFLICT, 0);
      return;
    }
    leadership.claimExists(
        vm,
        new ControlMessage.ClaimExists(
            request, first.request(), ClaimState.WAITING, Optional.empty(), Optional.empty()));
  }

  /**
   * Lets the requesting VM take over the answer if the session of the VM that holds the claim has
   * expired.
   */
  private void takeOver(VmId vm, ClaimRecord held, long nowNs) {
    if (held.isFinished() || held.vm().equals(vm) || leadership.canBeAlive(held.vm(), nowNs)) {
      return;
    }
    Command.AdoptClaim command =
        new Command.AdoptClaim(held.holder(), vm, leadership.logTimeMs(nowNs));
    leadership.propose(command, retryOnRejection(() -> {}), nowNs);
  }

  private ProposalCallback retryOnRejection(Runnable retryStep) {
    return new ProposalCallback() {
      @Override
      public void committed(CommandResult result, long outcomeNs) {}

      @Override
      public void rejected(ProposalRejection reason, long outcomeNs) {
        leadership.retryLater(retryStep);
      }
    };
  }

  private ClaimStore claimStore() {
    return leadership.claims();
  }
}
