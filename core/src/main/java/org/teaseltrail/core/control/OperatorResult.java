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

/** The result of an operator's request. */
public sealed interface OperatorResult {

  /**
   * The change was decided by a quorum.
   *
   * @param result whether it was accepted, or the reason why not
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
   * The most recent decisions, newest first.
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
   * The wait timed out before the configuration was in force everywhere.
   *
   * @param revision the configuration
   * @param missing VMs that may still serve with an older one; empty if the leadership is too
   *     recent to know all VMs
   */
  record NotInForce(Revision revision, List<VmId> missing) implements OperatorResult {}

  /**
   * The member change is committed.
   *
   * @param membership the member set
   */
  record MembersChanged(Membership membership) implements OperatorResult {}

  /**
   * The engine has answered an order, or no answer has arrived.
   *
   * @param outcome the outcome
   * @param fencing the leadership under which the order was sent
   */
  record OrderAnswered(OrderOutcome outcome, FencingNumber fencing) implements OperatorResult {}

  /**
   * The order was not sent.
   *
   * @param reason the reason
   */
  record OrderRejected(OrderRejection reason) implements OperatorResult {}

  /** Leadership was transferred, or will be within an election timeout. */
  record TransferStarted() implements OperatorResult {}

  /**
   * This member does not lead; nothing was done.
   *
   * @param leader the leader it knows
   */
  record NotLeader(Optional<MemberId> leader) implements OperatorResult {}

  /**
   * The request was rejected; nothing was done.
   *
   * @param reason the reason
   */
  record Rejected(ProposalRejection reason) implements OperatorResult {}

  /**
   * Leadership was lost before a quorum answered: the change may or may not be accepted. Resending
   * it with the same change id returns the outcome.
   */
  record OutcomeIndeterminate() implements OperatorResult {}

  /**
   * A request of an external platform or one of its upstreams is completed and stored durably by a
   * quorum.
   *
   * @param commitMs time from the receipt of the request until its command was synced by a quorum,
   *     in milliseconds; empty if nothing had to be written
   */
  record PlatformRequestCompleted(OptionalLong commitMs) implements OperatorResult {}

  /**
   * A request to start or abort a rollout was answered.
   *
   * @param answer whether it was accepted, or the reason why not
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
