package org.teaseltrail.control;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.teaseltrail.core.id.RegionId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.GroupId;
import org.teaseltrail.runtime.settings.Setting;
import org.teaseltrail.runtime.settings.SettingsSpec;
import org.teaseltrail.runtime.settings.ValueKinds;

/** Declares the settings of the control member's daemon. */
final class ControlProgramSettings {

  static final Setting<VmId> VM =
      Setting.required(
          "vm", "id", ValueKinds.text(VmId::new, "a VM's name"), "control-1", "Name of this VM.");

  static final Setting<RegionId> REGION =
      Setting.required(
          "vm",
          "region",
          ValueKinds.text(RegionId::new, "a region's name"),
          "prairie",
          "Region where this VM stands.");

  static final Setting<InetSocketAddress> LISTEN =
      Setting.required(
          "vm",
          "listen",
          ValueKinds.address(),
          "127.0.0.1:7101",
          "Address for entry VMs and other control members.");

  static final Setting<InetSocketAddress> LISTEN_OPERATORS =
      Setting.required(
          "vm",
          "listen_operators",
          ValueKinds.address(),
          "127.0.0.1:7201",
          "Address for operators' gRPC calls.");

  static final Setting<InetSocketAddress> LISTEN_METRICS =
      Setting.required(
          "vm",
          "listen_metrics",
          ValueKinds.address(),
          "127.0.0.1:7301",
          "Address for /healthz, /readyz and /metrics.");

  static final Setting<GroupId> GROUP =
      Setting.required(
          "group",
          "id",
          ValueKinds.text(GroupId::new, "a group's name"),
          "prairie-control",
          "Name of the group; members of another group are not heard.");

  static final Setting<List<PeerAddress>> MEMBERS =
      Setting.required(
          "group",
          "members",
          ValueKinds.list(ValueKinds.text(PeerAddress::parse, "vm@ip:port")),
          "control-1@127.0.0.1:7101",
          "VMs that hold control members, this one too.");

  static final Setting<List<PeerAddress>> OPERATOR_ADDRESSES =
      Setting.required(
          "group",
          "operator_addresses",
          ValueKinds.list(ValueKinds.text(PeerAddress::parse, "vm@ip:port")),
          "control-1@127.0.0.1:7201",
          "Where the members take operators' calls; told to operators who ask a member that does"
              + " not lead.");

  static final Setting<Path> DATA =
      Setting.required(
          "data",
          "folder",
          ValueKinds.path(),
          "/var/lib/teaseltrail",
          "Folder of this member's state.");

  static final Setting<Integer> MAX_CLAIMS =
      Setting.withDefault(
          "claims",
          "max_claims",
          ValueKinds.integer(1, 10_000_000),
          "200000",
          "Idempotency keys kept at once; when all must be kept, a new one is refused.");

  static final Setting<Duration> CLAIM_RETENTION =
      Setting.withDefault(
          "claims",
          "retention",
          ValueKinds.duration("1s", "720h"),
          "24h",
          "Time for which a finished request's key is kept.");

  static final Setting<Duration> CLAIM_RUNNING_RETENTION =
      Setting.withDefault(
          "claims",
          "running_retention",
          ValueKinds.duration("1s", "720h"),
          "1h",
          "Time after which a request of which nothing more is heard counts as one that may have"
              + " run.");

  static final Setting<Duration> LOAD_SPACING =
      Setting.withDefault(
          "placement",
          "load_spacing",
          ValueKinds.duration("0ms", "1h"),
          "10s",
          "Least time between two orders that read from the weight store.");

  static final Setting<Duration> ORDER_TIMEOUT =
      Setting.withDefault(
          "placement",
          "order_timeout",
          ValueKinds.duration("1s", "1h"),
          "2m",
          "Time after which an order without effect is given up and another engine is tried.");

  static final SettingsSpec SPEC =
      SettingsSpec.of(
          "teaseltrail-control",
          "Keeps the shared state with the other control members, schedules and serves operators.",
          VM,
          REGION,
          LISTEN,
          LISTEN_OPERATORS,
          LISTEN_METRICS,
          GROUP,
          MEMBERS,
          OPERATOR_ADDRESSES,
          DATA,
          MAX_CLAIMS,
          CLAIM_RETENTION,
          CLAIM_RUNNING_RETENTION,
          LOAD_SPACING,
          ORDER_TIMEOUT);

  private ControlProgramSettings() {}
}
