package org.teaseltrail.core.control;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.ProposalRejection;
import org.teaseltrail.core.rollout.Rollout;
import org.teaseltrail.core.rollout.RolloutOrderResult;
import org.teaseltrail.core.state.ChangeResult;

/** Is what an operator's request came to. */
public sealed interface OperatorResult {

  /**
   * The change was decided by a quorum.
   *
   * @param result accepted, or why not
   */
  record Changed(ChangeResult result) implements OperatorResult {}

  /**
   * The accepted configuration.
   *
   * @param configuration the configuration
   */
  record ConfigurationRead(Configuration configuration) implements OperatorResult {}

  /**
   * The state of the group.
   *
   * @param status the state
   */
  record StatusRead(ControlStatus status) implements OperatorResult {}

  /**
   * The newest decisions, newest first.
   *
   * @param decisions the decisions
   */
  record DecisionsRead(List<RecentDecision> decisions) implements OperatorResult {}

  /**
   * The configuration is in force everywhere.
   *
   * @param revision the configuration
   * @param initiallyPending VMs that had not applied it when the wait began
   */
  record InForce(Revision revision, List<VmId> initiallyPending) implements OperatorResult {}

  /**
   * The wait ended before the configuration was in force everywhere.
   *
   * @param revision the configuration
   * @param missing VMs that may still serve under an older one; empty if the leader is too new to
   *     know all VMs
   */
  record NotInForce(Revision revision, List<VmId> missing) implements OperatorResult {}

  /**
   * The member change is committed.
   *
   * @param membership the member set
   */
  record MembersChanged(Membership membership) implements OperatorResult {}

  /**
   * The engine has answered an order, or did not.
   *
   * @param outcome what came of it
   * @param fencing the leadership it was sent under
   */
  record OrderAnswered(OrderOutcome outcome, FencingNumber fencing) implements OperatorResult {}

  /**
   * The order was not sent.
   *
   * @param reason why
   */
  record OrderRejected(OrderRejection reason) implements OperatorResult {}

  /** Leadership was handed over, or will be within an election timeout. */
  record TransferStarted() implements OperatorResult {}

  /**
   * This member does not lead, and nothing was done.
   *
   * @param leader the leader it knows
   */
  record NotLeader(Optional<MemberId> leader) implements OperatorResult {}

  /**
   * The request was not taken, and nothing was done.
   *
   * @param reason why
   */
  record Rejected(ProposalRejection reason) implements OperatorResult {}

  /**
   * Leadership was lost before a quorum answered: the change may or may not be accepted. A resend
   * under the same change id tells.
   */
  record OutcomeIndeterminate() implements OperatorResult {}

  /**
   * What an outside platform or one of its upstreams asked for is done, on a quorum of disks.
   *
   * @param commitMs time from its taking until it was on a quorum of disks, in milliseconds; empty
   *     if nothing had to be written
   */
  record PlatformRequestCompleted(OptionalLong commitMs) implements OperatorResult {}

  /**
   * What became of an order of a rollout.
   *
   * @param answer taken, or why not
   */
  record RolloutOrderAnswered(RolloutOrderResult answer) implements OperatorResult {}

  /**
   * A service's newest rollout.
   *
   * @param rollout the rollout, or empty if there was none
   */
  record RolloutRead(Optional<Rollout> rollout) implements OperatorResult {}

  /**
   * The newest plan.
   *
   * @param installed the plan, or empty if there is none yet
   */
  record PlanRead(Optional<InstalledPlan> installed) implements OperatorResult {}
}
