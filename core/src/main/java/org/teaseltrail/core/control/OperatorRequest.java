package org.teaseltrail.core.control;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.id.ChangeId;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.plan.InstalledPlan;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.replication.MembershipChange;
import org.teaseltrail.core.rollout.RolloutOrder;

/** Is what an operator asks a control member for. */
public sealed interface OperatorRequest {

  /**
   * Change the configuration.
   *
   * @param change names the change for resends
   * @param expected the revision the operator has seen, if it matters
   * @param items what to change
   */
  record Change(ChangeId change, Optional<Revision> expected, List<ConfigurationChange> items)
      implements OperatorRequest {
    /** Copies the items. */
    public Change {
      items = List.copyOf(items);
    }
  }

  /** Read the accepted configuration. */
  record ReadConfiguration() implements OperatorRequest {}

  /** Read the state of the group, the entry VMs, the pools and the upstreams. */
  record ReadStatus() implements OperatorRequest {}

  /** Read what the member itself knows, whether it leads or not. */
  record ReadLocalStatus() implements OperatorRequest {}

  /** Read the newest decisions. */
  record ReadDecisions() implements OperatorRequest {}

  /**
   * Wait until a configuration is in force everywhere.
   *
   * @param revision the configuration
   * @param timeoutMs how long to wait
   */
  record AwaitInForce(Revision revision, long timeoutMs) implements OperatorRequest {}

  /**
   * Change the member set by one step.
   *
   * @param change the step
   */
  record ChangeMembers(MembershipChange change) implements OperatorRequest {}

  /**
   * Send an order to an engine.
   *
   * @param upstream the engine
   * @param content what it is to do
   */
  record OrderEngine(UpstreamId upstream, OrderContent content) implements OperatorRequest {}

  /**
   * Hand leadership over.
   *
   * @param successor the member to lead next, or empty for the one that is least behind
   */
  record TransferLeadership(Optional<MemberId> successor) implements OperatorRequest {}

  /** Comes from an outside platform and its upstreams. */
  sealed interface PlatformRequest extends OperatorRequest {}

  /**
   * Install a plan that was checked.
   *
   * @param installed the plan
   */
  record InstallPlan(InstalledPlan installed) implements PlatformRequest {}

  /** Read the newest plan, confirmed by a quorum after the request came. */
  record ReadPlan() implements PlatformRequest {}

  /**
   * Take an upstream's heartbeat in.
   *
   * @param heard what it told
   */
  record Heartbeat(Registration heard) implements PlatformRequest {}

  /**
   * Move a service to another version of its upstreams.
   *
   * @param order the order
   */
  record StartRollout(RolloutOrder order) implements PlatformRequest {}

  /**
   * Roll a service's running rollout back.
   *
   * @param service the service
   */
  record AbortRollout(ServiceId service) implements PlatformRequest {}

  /**
   * Read a service's newest rollout, confirmed by a quorum after the request came.
   *
   * @param service the service
   */
  record ReadRollout(ServiceId service) implements PlatformRequest {}

  /**
   * Take an upstream's leave in.
   *
   * @param upstream the upstream
   * @param bornMs which life of it, if the call says so, in Unix milliseconds
   */
  record Leave(UpstreamId upstream, OptionalLong bornMs) implements PlatformRequest {}
}
