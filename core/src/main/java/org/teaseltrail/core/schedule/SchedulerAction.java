package org.teaseltrail.core.schedule;

import org.teaseltrail.core.decision.Decision;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.Ticket;

/** An action that a scheduler requests from its caller. */
public sealed interface SchedulerAction {

  /**
   * Send a message to an entry VM.
   *
   * @param vm the entry VM
   * @param message the message
   */
  record Send(VmId vm, ControlMessage message) implements SchedulerAction {}

  /**
   * Commit a claim, then pass the result to the scheduler. The upstream's slot stays reserved until
   * then.
   *
   * @param vm the entry VM
   * @param ticket the ticket with its claim
   * @param upstream the upstream
   */
  record CommitClaim(VmId vm, Ticket ticket, UpstreamId upstream) implements SchedulerAction {}

  /**
   * Release the claim of a request that did not run.
   *
   * @param request the request
   */
  record ReleaseClaim(RequestId request) implements SchedulerAction {}

  /**
   * Write a decision to the decision log.
   *
   * @param decision the decision
   */
  record Log(Decision decision) implements SchedulerAction {}
}
