package org.teaseltrail.control;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.claim.ClaimLimits;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.control.ControlSettings;
import org.teaseltrail.core.control.PlacementSettings;
import org.teaseltrail.core.id.RegionId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.quota.QuotaPolicy;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.core.rollout.RolloutSettings;
import org.teaseltrail.core.session.SessionSettings;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.settings.Settings;

/**
 * Options of a control member, converted from the settings to the types that its components use.
 *
 * @param vm this VM
 * @param region the region of this VM
 * @param group the group that the member belongs to
 * @param listen listen address for entry VMs and other members
 * @param listenOperators listen address for operators' gRPC calls; empty disables the operator API
 * @param listenMetrics listen address for health checks and metrics
 * @param members addresses of all members, including this one
 * @param operatorAddresses addresses at which the members accept operators' calls
 * @param data folder of the member's persistent state
 * @param control settings of the member's work as the leader
 * @param bootstrap how the group bootstraps itself; empty if operators create the group and change
 *     its members
 * @param log event log, if enabled; records changes of leadership, quarantine and rollouts
 */
public record ControlOptions(
    VmId vm,
    RegionId region,
    GroupId group,
    InetSocketAddress listen,
    Optional<InetSocketAddress> listenOperators,
    InetSocketAddress listenMetrics,
    List<PeerAddress> members,
    List<PeerAddress> operatorAddresses,
    Path data,
    ControlSettings control,
    Optional<GroupBootstrapOptions> bootstrap,
    Optional<EventLog> log) {

  private static final long CLAIM_EXPIRY_EVERY_MS = 10_000;

  static ControlOptions of(Settings settings) {
    return new ControlOptions(
        settings.get(ControlProgramSettings.VM),
        settings.get(ControlProgramSettings.REGION),
        settings.get(ControlProgramSettings.GROUP),
        settings.get(ControlProgramSettings.LISTEN),
        Optional.of(settings.get(ControlProgramSettings.LISTEN_OPERATORS)),
        settings.get(ControlProgramSettings.LISTEN_METRICS),
        settings.get(ControlProgramSettings.MEMBERS),
        settings.get(ControlProgramSettings.OPERATOR_ADDRESSES),
        settings.get(ControlProgramSettings.DATA),
        control(settings),
        Optional.empty(),
        Optional.empty());
  }

  private static ControlSettings control(Settings settings) {
    ClaimLimits claims =
        new ClaimLimits(
            settings.get(ControlProgramSettings.MAX_CLAIMS),
            settings.get(ControlProgramSettings.CLAIM_RETENTION).toMillis(),
            settings.get(ControlProgramSettings.CLAIM_RUNNING_RETENTION).toMillis());
    PlacementSettings placement =
        new PlacementSettings(
            settings.get(ControlProgramSettings.LOAD_SPACING).toMillis(),
            settings.get(ControlProgramSettings.ORDER_TIMEOUT).toMillis());
    return new ControlSettings(
        SessionSettings.DEFAULT,
        claims,
        CLAIM_EXPIRY_EVERY_MS,
        placement,
        System.nanoTime(),
        QuotaPolicy.DEFAULT,
        RolloutSettings.DEFAULT,
        ContentionSettings.OFF,
        Optional.empty());
  }
}
