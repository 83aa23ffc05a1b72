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
 * Is what the settings file says, in the models' own types. Exactly one of engine and service is
 * present.
 *
 * @param listen where it takes requests
 * @param entries the entry VMs it announces itself to
 * @param secret what its announcements carry
 * @param leaveGraceMs time that it still answers once it is leaving, in milliseconds
 * @param admin whether paths under /admin are served
 * @param engine the engine to model
 * @param service the plain service to model
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
          ExitCode.SETTINGS, "give one of [engine] models and [service] name");
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
    HardwareProfile usual = settings.get(StandinSettings.GENERATION).profile();
    return new HardwareProfile(
        ms(settings.get(StandinSettings.STEP), usual.stepBaseMs()),
        ms(settings.get(StandinSettings.STEP_PER_SEQUENCE), usual.stepPerSequenceMs()),
        ms(settings.get(StandinSettings.PREFILL_PER_TOKEN), usual.prefillPerTokenMs()),
        settings.get(StandinSettings.MAX_BATCH).orElse(usual.maxBatch()),
        settings.get(StandinSettings.PREFILL_CHUNK).orElse(usual.prefillChunkTokens()),
        settings.get(StandinSettings.CACHE_TOKENS).orElse(usual.cacheTokens()));
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

  private static double ms(Optional<Duration> given, double usualMs) {
    return given.map(duration -> duration.toNanos() / NS_PER_MS).orElse(usualMs);
  }
}
