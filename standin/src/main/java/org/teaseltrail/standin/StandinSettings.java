package org.teaseltrail.standin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.runtime.settings.Secret;
import org.teaseltrail.runtime.settings.Setting;
import org.teaseltrail.runtime.settings.SettingsSpec;
import org.teaseltrail.runtime.settings.ValueKinds;
import org.teaseltrail.standin.model.AnswerLength;
import org.teaseltrail.standin.model.HardwareGeneration;

/** Declares the settings of the simulated upstream. */
final class StandinSettings {

  static final Setting<UpstreamId> ID =
      Setting.required(
          "upstream", "id", ValueKinds.text(UpstreamId::new, "an id"), "tutor-llm-1", "Its name.");
  static final Setting<InetSocketAddress> LISTEN =
      Setting.required(
          "upstream",
          "listen",
          ValueKinds.address(),
          "127.0.0.1:19101",
          "Address on which it takes requests, and which it announces.");
  static final Setting<DataCenterId> DATA_CENTER =
      Setting.required(
          "upstream",
          "data_center",
          ValueKinds.text(DataCenterId::new, "an id"),
          "regina-a",
          "Data centre where it stands.");
  static final Setting<List<InetSocketAddress>> ENTRIES =
      Setting.required(
          "upstream",
          "entries",
          ValueKinds.list(ValueKinds.address()),
          "127.0.0.1:18101, 127.0.0.1:18102",
          "Entry VMs that it announces itself to.");
  static final Setting<Secret> SECRET =
      Setting.required(
          "upstream",
          "secret_file",
          ValueKinds.secretFile(),
          "/etc/teaseltrail/tutor-llm-1.secret",
          "File with the secret that its announcements carry.");
  static final Setting<Optional<Long>> INCARNATION =
      Setting.optional(
          "upstream",
          "incarnation",
          ValueKinds.longInteger(0, Long.MAX_VALUE),
          "1",
          "Number of this life, greater than that of the one before. Without it, the time of day at"
              + " the start in milliseconds.");
  static final Setting<Duration> LEAVE_GRACE =
      Setting.withDefault(
          "upstream",
          "leave_grace",
          ValueKinds.duration("0ms", "1h"),
          "2s",
          "Time that it still answers after it has announced that it leaves.");
  static final Setting<Double> STRAGGLER_FACTOR =
      Setting.withDefault(
          "upstream",
          "straggler_factor",
          ValueKinds.decimal(0.001, 10_000),
          "1",
          "How many times longer its work takes than the other settings say.");
  static final Setting<Boolean> ADMIN =
      Setting.withDefault(
          "upstream",
          "admin",
          ValueKinds.bool(),
          "true",
          "Whether paths under /admin bring about faults and show counters.");
  static final Setting<Long> SEED =
      Setting.withDefault(
          "upstream",
          "seed",
          ValueKinds.longInteger(0, Long.MAX_VALUE),
          "1",
          "Seed of all that is random.");

  static final Setting<Optional<List<ServedModel>>> MODELS =
      Setting.optional(
          "engine",
          "models",
          ValueKinds.list(
              ValueKinds.text(ServedModelParser::parse, "model:version or model:version:a+b")),
          "tutor-llm:3:quiz+review",
          "Models loaded at the start, with version and adapters. Makes it an engine.");
  static final Setting<HardwareGeneration> GENERATION =
      Setting.withDefault(
          "engine",
          "generation",
          ValueKinds.choice(HardwareGeneration.class),
          "generation-3",
          "Hardware whose figures hold where the next settings are left out.");
  static final Setting<Optional<Duration>> STEP =
      Setting.optional(
          "engine", "step", ValueKinds.duration("0.001ms", "1h"), "4ms", "Time of an empty step.");
  static final Setting<Optional<Duration>> STEP_PER_SEQUENCE =
      Setting.optional(
          "engine",
          "step_per_sequence",
          ValueKinds.duration("0ms", "1h"),
          "0.1ms",
          "Time that each decoding sequence adds to a step.");
  static final Setting<Optional<Duration>> PREFILL_PER_TOKEN =
      Setting.optional(
          "engine",
          "prefill_per_token",
          ValueKinds.duration("0ms", "1h"),
          "0.06ms",
          "Time that each prompt token adds to a step.");
  static final Setting<Optional<Integer>> MAX_BATCH =
      Setting.optional(
          "engine",
          "max_batch",
          ValueKinds.integer(1, 10_000),
          "16",
          "Sequences that run at once.");
  static final Setting<Optional<Integer>> PREFILL_CHUNK =
      Setting.optional(
          "engine",
          "prefill_chunk",
          ValueKinds.integer(1, 1_000_000),
          "512",
          "Most prompt tokens processed in one step.");
  static final Setting<Optional<Long>> CACHE_TOKENS =
      Setting.optional(
          "engine",
          "cache_tokens",
          ValueKinds.longInteger(0, 100_000_000),
          "120000",
          "Tokens that the prefix cache holds.");
  static final Setting<AnswerLength> ANSWER_LENGTH =
      Setting.withDefault(
          "engine",
          "answer_length",
          ValueKinds.choice(AnswerLength.class),
          "exact",
          "Whether answers are as long as allowed, or between half of that and all of it.");
  static final Setting<Integer> TOKENS_PER_FRAME =
      Setting.withDefault(
          "engine",
          "tokens_per_frame",
          ValueKinds.integer(1, 1_000),
          "1",
          "Tokens in each frame after the first, which has one.");
  static final Setting<Boolean> HONOURS_FENCING =
      Setting.withDefault(
          "engine",
          "honours_fencing",
          ValueKinds.bool(),
          "true",
          "Whether it refuses an order with an old fencing number.");
  static final Setting<Duration> RESUME_RETENTION =
      Setting.withDefault(
          "engine",
          "resume_retention",
          ValueKinds.duration("0ms", "1h"),
          "60s",
          "Time for which an ended stream can be read again.");
  static final Setting<Duration> MODEL_LOAD =
      Setting.withDefault(
          "engine",
          "model_load",
          ValueKinds.duration("0ms", "1h"),
          "5s",
          "Time to load a model that is ordered.");
  static final Setting<Integer> MAX_QUEUE =
      Setting.withDefault(
          "engine",
          "max_queue",
          ValueKinds.integer(0, 1_000_000),
          "10000",
          "Requests that may wait for the batch; one more is refused.");

  static final Setting<Optional<ServiceId>> SERVICE =
      Setting.optional(
          "service",
          "name",
          ValueKinds.text(ServiceId::new, "an id"),
          "portal-app",
          "Service it answers for. Makes it a plain service.");
  static final Setting<Duration> SERVICE_MEDIAN =
      Setting.withDefault(
          "service",
          "median",
          ValueKinds.duration("0.001ms", "1h"),
          "20ms",
          "Median time of a call.");
  static final Setting<Double> SERVICE_SIGMA =
      Setting.withDefault(
          "service",
          "sigma",
          ValueKinds.decimal(0, 10),
          "0.3",
          "Standard deviation of the logarithm of that time.");
  static final Setting<Integer> SERVICE_MAX_RUNNING =
      Setting.withDefault(
          "service",
          "max_running",
          ValueKinds.integer(1, 100_000),
          "64",
          "Calls that run at once.");

  static final Setting<Duration> ANNOUNCE_INTERVAL =
      Setting.withDefault(
          "reports",
          "announce_interval",
          ValueKinds.duration("10ms", "1h"),
          "1s",
          "Time between announcements.");
  static final Setting<Duration> ANNOUNCEMENT_LIFETIME =
      Setting.withDefault(
          "reports",
          "announcement_lifetime",
          ValueKinds.duration("10ms", "1h"),
          "3s",
          "How long an announcement is good for; silence past it counts as leaving.");
  static final Setting<Duration> LOAD_LAG =
      Setting.withDefault(
          "reports",
          "load_lag",
          ValueKinds.duration("0ms", "1h"),
          "500ms",
          "Least age of the load that it announces.");
  static final Setting<Duration> CACHE_EVENT_INTERVAL =
      Setting.withDefault(
          "reports",
          "cache_event_interval",
          ValueKinds.duration("1ms", "1h"),
          "200ms",
          "Time over which changes of the cache are put into one event.");
  static final Setting<Duration> CACHE_EVENT_LAG =
      Setting.withDefault(
          "reports",
          "cache_event_lag",
          ValueKinds.duration("0ms", "1h"),
          "300ms",
          "How late cache events go out.");
  static final Setting<Double> CACHE_EVENT_GAP_RATE =
      Setting.withDefault(
          "reports",
          "cache_event_gap_rate",
          ValueKinds.decimal(0, 1),
          "0.01",
          "Part of the cache events that are lost.");

  static final SettingsSpec SPEC =
      SettingsSpec.of(
          "teaseltrail-standin",
          "Stands in for a model engine or a plain service in tests and measurements.",
          ID,
          LISTEN,
          DATA_CENTER,
          ENTRIES,
          SECRET,
          INCARNATION,
          LEAVE_GRACE,
          STRAGGLER_FACTOR,
          ADMIN,
          SEED,
          MODELS,
          GENERATION,
          STEP,
          STEP_PER_SEQUENCE,
          PREFILL_PER_TOKEN,
          MAX_BATCH,
          PREFILL_CHUNK,
          CACHE_TOKENS,
          ANSWER_LENGTH,
          TOKENS_PER_FRAME,
          HONOURS_FENCING,
          RESUME_RETENTION,
          MODEL_LOAD,
          MAX_QUEUE,
          SERVICE,
          SERVICE_MEDIAN,
          SERVICE_SIGMA,
          SERVICE_MAX_RUNNING,
          ANNOUNCE_INTERVAL,
          ANNOUNCEMENT_LIFETIME,
          LOAD_LAG,
          CACHE_EVENT_INTERVAL,
          CACHE_EVENT_LAG,
          CACHE_EVENT_GAP_RATE);

  private StandinSettings() {}
}
