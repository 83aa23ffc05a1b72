package org.teaseltrail.standin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.settings.Secret;
import org.teaseltrail.runtime.settings.Settings;
import org.teaseltrail.standin.model.EngineSettings;
import org.teaseltrail.standin.model.HardwareProfile;
import org.teaseltrail.standin.model.ReportingProfile;
import org.teaseltrail.standin.model.ServiceSettings;
import org.teaseltrail.standin.model.UpstreamIdentity;

/**
 * Parsed settings of the simulated upstream, in the types of the models. Exactly one of {@code
 * engine} and {@code service} is present.
 *
 * @param listen the address on which it accepts requests
 * @param entries the entry VMs to which it sends announcements
 * @param secret the secret that authenticates its announcements
 * @param leaveGraceMs time for which it still answers after it announced that it is leaving, in
 *     milliseconds
 * @param admin whether paths under /admin are served
 * @param engine configuration of the engine, if it simulates one
 * @param service configuration of the plain service, if it simulates one
 */
record StandinOptions(
    InetSocketAddress listen,
    List<InetSocketAddress> entries,
    Secret secret,
    long leaveGraceMs,
    boolean admin,
    Optional<EngineSettings> engine,
    Optional<ServiceSettings> service) {

  private static final double NS_PER_MS = 1e6;

  static StandinOptions of(Settings settings, long startMs) throws ProgramException {
    Optional<List<ServedModel>> models = settings.get(StandinSettings.MODELS);
    Optional<ServiceId> service = settings.get(StandinSettings.SERVICE);
    if (models.isPresent() == service.isPresent()) {
      throw new ProgramException(
          ExitCode.SETTINGS, "exactly one of [engine] models and [service] name must be set");
    }
    UpstreamIdentity identity = identity(settings, startMs);
    return new StandinOptions(
        settings.get(StandinSettings.LISTEN),
        settings.get(StandinSettings.ENTRIES),
        settings.get(StandinSettings.SECRET),
        settings.get(StandinSettings.LEAVE_GRACE).toMillis(),
        settings.get(StandinSettings.ADMIN),
        models.map(loaded -> engine(settings, identity, loaded)),
        service.map(name -> service(settings, identity, name)));
  }

  private static UpstreamIdentity identity(Settings settings, long startMs) {
    InetSocketAddress listen = settings.get(StandinSettings.LISTEN);
    return new UpstreamIdentity(
        settings.get(StandinSettings.ID),
        new Incarnation(settings.get(StandinSettings.INCARNATION).orElse(startMs)),
        new SocketAddress(listen.getAddress().getHostAddress(), listen.getPort()),
        settings.get(StandinSettings.DATA_CENTER));
  }

  private static EngineSettings engine(
      Settings settings, UpstreamIdentity identity, List<ServedModel> models) {
    return new EngineSettings(
        identity,
        hardware(settings),
        reporting(settings),
        models,
        settings.get(StandinSettings.ANSWER_LENGTH),
        settings.get(StandinSettings.TOKENS_PER_FRAME),
        settings.get(StandinSettings.HONOURS_FENCING),
        settings.get(StandinSettings.RESUME_RETENTION).toMillis(),
        settings.get(StandinSettings.MODEL_LOAD).toMillis(),
        settings.get(StandinSettings.MAX_QUEUE),
        settings.get(StandinSettings.STRAGGLER_FACTOR),
        settings.get(StandinSettings.SEED));
  }

  private static HardwareProfile hardware(Settings settings) {
    HardwareProfile defaults = settings.get(StandinSettings.GENERATION).profile();
    return new HardwareProfile(
        ms(settings.get(StandinSettings.STEP), defaults.stepBaseMs()),
        ms(settings.get(StandinSettings.STEP_PER_SEQUENCE), defaults.stepPerSequenceMs()),
        ms(settings.get(StandinSettings.PREFILL_PER_TOKEN), defaults.prefillPerTokenMs()),
        settings.get(StandinSettings.MAX_BATCH).orElse(defaults.maxBatch()),
        settings.get(StandinSettings.PREFILL_CHUNK).orElse(defaults.prefillChunkTokens()),
        settings.get(StandinSettings.CACHE_TOKENS).orElse(defaults.cacheTokens()));
  }

  private static ReportingProfile reporting(Settings settings) {
    return new ReportingProfile(
        settings.get(StandinSettings.ANNOUNCE_INTERVAL).toMillis(),
        settings.get(StandinSettings.ANNOUNCEMENT_LIFETIME).toMillis(),
        settings.get(StandinSettings.LOAD_LAG).toMillis(),
        settings.get(StandinSettings.CACHE_EVENT_INTERVAL).toMillis(),
        settings.get(StandinSettings.CACHE_EVENT_LAG).toMillis(),
        settings.get(StandinSettings.CACHE_EVENT_GAP_RATE));
  }

  private static ServiceSettings service(
      Settings settings, UpstreamIdentity identity, ServiceId name) {
    return new ServiceSettings(
        identity,
        name,
        reporting(settings),
        settings.get(StandinSettings.SERVICE_MEDIAN).toNanos() / NS_PER_MS,
        settings.get(StandinSettings.SERVICE_SIGMA),
        settings.get(StandinSettings.SERVICE_MAX_RUNNING),
        settings.get(StandinSettings.STRAGGLER_FACTOR),
        settings.get(StandinSettings.SEED));
  }

  private static double ms(Optional<Duration> configured, double defaultMs) {
    return configured.map(duration -> duration.toNanos() / NS_PER_MS).orElse(defaultMs);
  }
}
