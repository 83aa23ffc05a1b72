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

/** A request of an operator or an external platform to a control member. */
public sealed interface OperatorRequest {

  /**
   * Change the configuration.
   *
   * @param change identifies the change when it is resent
   * @param expected the revision that the operator has read, to be checked against the current one
   *     if present
   * @param items the changes to apply
   */
  record Change(ChangeId change, Optional<Revision> expected, List<ConfigurationChange> items)
      implements OperatorRequest {
    /** Copies the list of changes. */
    public Change {
      items = List.copyOf(items);
    }
  }

  /** Read the accepted configuration. */
  record ReadConfiguration() implements OperatorRequest {}

  /** Read the state of the group, the entry VMs, the pools and the upstreams. */
  record ReadStatus() implements OperatorRequest {}

  /** Read the member's own status, whether it leads or not. */
  record ReadLocalStatus() implements OperatorRequest {}

  /** Read the most recent decisions. */
  record ReadDecisions() implements OperatorRequest {}

  /**
   * Wait until a configuration is in force everywhere, that is, applied by each entry VM with a
   * session.
   *
   * @param revision the configuration
   * @param timeoutMs the longest time to wait
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
   * @param content the operation to perform
   */
  record OrderEngine(UpstreamId upstream, OrderContent content) implements OperatorRequest {}

  /**
   * Transfer leadership to another member.
   *
   * @param successor the next leader, or empty for the member whose log is the least behind
   */
  record TransferLeadership(Optional<MemberId> successor) implements OperatorRequest {}

  /** A request of an external platform or one of its upstreams. */
  sealed interface PlatformRequest extends OperatorRequest {}

  /**
   * Install a validated plan.
   *
   * @param installed the plan
   */
  record InstallPlan(InstalledPlan installed) implements PlatformRequest {}

  /** Read the newest plan, confirmed by a quorum after the request arrived. */
  record ReadPlan() implements PlatformRequest {}

  /**
   * Process an upstream's heartbeat.
   *
   * @param heard the registration that the heartbeat carries
   */
  record Heartbeat(Registration heard) implements PlatformRequest {}

  /**
   * Start a rollout of another version of a service's upstreams.
   *
   * @param order the order
   */
  record StartRollout(RolloutOrder order) implements PlatformRequest {}

  /**
   * Roll back a service's running rollout.
   *
   * @param service the service
   */
  record AbortRollout(ServiceId service) implements PlatformRequest {}

  /**
   * Read a service's newest rollout, confirmed by a quorum after the request arrived.
   *
   * @param service the service
   */
  record ReadRollout(ServiceId service) implements PlatformRequest {}

  /**
   * Deregister an upstream.
   *
   * @param upstream the upstream
   * @param bornMs start time of the incarnation to deregister, if the call names one, in Unix
   *     milliseconds
   */
  record Leave(UpstreamId upstream, OptionalLong bornMs) implements PlatformRequest {}
}
