package org.teaseltrail.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.runtime.settings.Setting;
import org.teaseltrail.runtime.settings.SettingsSpec;
import org.teaseltrail.runtime.settings.ValueKinds;

/** Declares the settings of an entry VM's daemon. */
final class EntryProgramSettings {

  static final Setting<VmId> VM =
      Setting.required(
          "vm", "id", ValueKinds.text(VmId::new, "a VM's name"), "entry-1", "Name of this VM.");

  static final Setting<DataCenterId> DATA_CENTER =
      Setting.required(
          "vm",
          "data_center",
          ValueKinds.text(DataCenterId::new, "a data centre's name"),
          "regina-a",
          "Data centre where this VM stands.");

  static final Setting<InetSocketAddress> LISTEN =
      Setting.required(
          "vm",
          "listen",
          ValueKinds.address(),
          "127.0.0.1:8080",
          "Address for callers, upstreams, health checks and metrics.");

  static final Setting<List<MemberAddress>> MEMBERS =
      Setting.required(
          "control",
          "members",
          ValueKinds.list(ValueKinds.text(MemberAddress::parse, "member@ip:port")),
          "c1@127.0.0.1:7101",
          "All control members.");

  static final Setting<Long> MAX_BODY =
      Setting.withDefault(
          "limits",
          "max_body",
          ValueKinds.size("1KiB", "64MiB"),
          "4MiB",
          "Longest body of a request; a longer one is answered with 413.");

  static final Setting<Long> MAX_PROMPT =
      Setting.withDefault(
          "limits",
          "max_prompt",
          ValueKinds.size("1KiB", "64MiB"),
          "2MiB",
          "Longest prompt in UTF-8; a longer one is answered with 413.");

  static final Setting<Long> MAX_HEADERS =
      Setting.withDefault(
          "limits",
          "max_headers",
          ValueKinds.size("1KiB", "32KiB"),
          "16KiB",
          "Longest head of a request; a longer one is answered with 431.");

  static final Setting<Integer> MAX_TOKENS =
      Setting.withDefault(
          "limits",
          "max_tokens",
          ValueKinds.integer(1, 1_000_000),
          "32768",
          "Most tokens that a caller may ask for.");

  static final Setting<Integer> MAX_REQUESTS =
      Setting.withDefault(
          "limits",
          "max_requests",
          ValueKinds.integer(1, 1_000_000),
          "20000",
          "Requests held at once; above it callers get 503.");

  static final Setting<Long> MAX_ANSWER =
      Setting.withDefault(
          "limits",
          "max_answer",
          ValueKinds.size("1KiB", "64MiB"),
          "4MiB",
          "Longest answer that is held for a caller who wants it in one piece.");

  static final Setting<Integer> BUFFER_FRAMES =
      Setting.withDefault(
          "callers",
          "buffer_frames",
          ValueKinds.integer(1, 100_000),
          "256",
          "Frames held for a caller who reads slowly; above it the upstream isn't read.");

  static final Setting<Duration> STALL_TIMEOUT =
      Setting.withDefault(
          "callers",
          "stall_timeout",
          ValueKinds.duration("100ms", "1h"),
          "30s",
          "Time that a caller may read nothing while its buffer is full, before it is cut off.");

  static final Setting<Duration> BODY_TIMEOUT =
      Setting.withDefault(
          "callers",
          "body_timeout",
          ValueKinds.duration("100ms", "1h"),
          "30s",
          "Time in which a whole request must arrive.");

  static final Setting<Duration> CONNECT_TIMEOUT =
      Setting.withDefault(
          "upstreams",
          "connect_timeout",
          ValueKinds.duration("10ms", "1m"),
          "1s",
          "Time that a connection to an upstream may take.");

  static final Setting<Duration> READ_TIMEOUT =
      Setting.withDefault(
          "upstreams",
          "read_timeout",
          ValueKinds.duration("100ms", "1h"),
          "60s",
          "Silence of an upstream after which its stream is resumed.");

  static final Setting<Duration> BALANCER_DELAY =
      Setting.withDefault(
          "shutdown",
          "balancer_delay",
          ValueKinds.duration("0ms", "10m"),
          "5s",
          "Time from not ready until the listener closes; longer than the balancer's checks take.");

  static final Setting<Duration> GIVE_UP_HOLD =
      Setting.withDefault(
          "no_scheduler",
          "hold",
          ValueKinds.duration("100ms", "1h"),
          "10s",
          "Time since the last lease after which the lowest tier is given up; same on all VMs.");

  static final Setting<Duration> GIVE_UP_STEP =
      Setting.withDefault(
          "no_scheduler",
          "step",
          ValueKinds.duration("1s", "1h"),
          "5s",
          "Time from one tier's giving up to the next higher one's. Same on all VMs.");

  static final SettingsSpec SPEC =
      SettingsSpec.of(
          "teaseltrail-entry",
          "Takes callers' requests, dispatches them and streams the answers back.",
          VM,
          DATA_CENTER,
          LISTEN,
          MEMBERS,
          MAX_BODY,
          MAX_PROMPT,
          MAX_HEADERS,
          MAX_TOKENS,
          MAX_REQUESTS,
          MAX_ANSWER,
          BUFFER_FRAMES,
          STALL_TIMEOUT,
          BODY_TIMEOUT,
          CONNECT_TIMEOUT,
          READ_TIMEOUT,
          BALANCER_DELAY,
          GIVE_UP_HOLD,
          GIVE_UP_STEP);

  private EntryProgramSettings() {}
}
