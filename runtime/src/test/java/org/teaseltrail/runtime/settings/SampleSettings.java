package org.teaseltrail.runtime.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Settings of a sample program, for tests. */
public final class SampleSettings {

  static final Setting<InetSocketAddress> ADDRESS =
      Setting.required(
          "listen", "address", ValueKinds.address(), "127.0.0.1:8080", "Where it listens.");
  static final Setting<List<InetSocketAddress>> PEERS =
      Setting.required(
          "listen",
          "peers",
          ValueKinds.list(ValueKinds.address()),
          "127.0.0.1:1, 127.0.0.1:2",
          "Others.");
  static final Setting<Duration> LIFETIME =
      Setting.withDefault(
          "lease", "lifetime", ValueKinds.duration("100ms", "1m"), "3s", "Lifetime.");
  static final Setting<Duration> MARGIN =
      Setting.withDefault("lease", "margin", ValueKinds.duration("1ms", "1s"), "1.5ms", "Margin.");
  static final Setting<Long> BODY =
      Setting.withDefault(
          "limits", "body", ValueKinds.size("1B", "1GiB"), "64KiB", "Longest body.");
  static final Setting<Double> SHARE =
      Setting.withDefault("limits", "share", ValueKinds.decimal(0, 1), "0.5", "Share.");
  static final Setting<Optional<Secret>> SECRET =
      Setting.optional("limits", "secret", ValueKinds.secretFile(), "/etc/secret", "Secret.");

  /** Specification of the sample program. */
  public static final SettingsSpec SPEC =
      SettingsSpec.of(
          "sample", "Is a sample.", ADDRESS, PEERS, LIFETIME, MARGIN, BODY, SHARE, SECRET);

  private SampleSettings() {}
}
