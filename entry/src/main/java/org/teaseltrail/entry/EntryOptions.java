package org.teaseltrail.entry;

import java.net.InetSocketAddress;
import java.util.List;
import org.teaseltrail.core.entry.EntrySettings;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.runtime.settings.Settings;

/**
 * The parsed settings of the daemon's components.
 *
 * @param listen address for callers and upstreams
 * @param members the control members
 * @param limits limits on callers' requests and responses
 * @param bufferFrames maximum number of frames buffered for a slow caller
 * @param stallTimeoutMs time after which a caller that reads nothing from a full buffer is
 *     disconnected
 * @param bodyTimeoutMs time within which a request must arrive
 * @param connectTimeoutMs timeout of a connection attempt to an upstream
 * @param readTimeoutMs time without data from an upstream after which its stream is resumed
 * @param node settings of the node
 */
public record EntryOptions(
    InetSocketAddress listen,
    List<MemberAddress> members,
    CallerLimits limits,
    int bufferFrames,
    long stallTimeoutMs,
    long bodyTimeoutMs,
    int connectTimeoutMs,
    long readTimeoutMs,
    EntrySettings node) {

  static EntryOptions of(Settings settings) {
    CallerLimits limits =
        new CallerLimits(
            settings.get(EntryProgramSettings.MAX_BODY).intValue(),
            settings.get(EntryProgramSettings.MAX_PROMPT).intValue(),
            settings.get(EntryProgramSettings.MAX_HEADERS).intValue(),
            settings.get(EntryProgramSettings.MAX_TOKENS),
            settings.get(EntryProgramSettings.MAX_ANSWER).intValue());
    return new EntryOptions(
        settings.get(EntryProgramSettings.LISTEN),
        settings.get(EntryProgramSettings.MEMBERS),
        limits,
        settings.get(EntryProgramSettings.BUFFER_FRAMES),
        settings.get(EntryProgramSettings.STALL_TIMEOUT).toMillis(),
        settings.get(EntryProgramSettings.BODY_TIMEOUT).toMillis(),
        (int) settings.get(EntryProgramSettings.CONNECT_TIMEOUT).toMillis(),
        settings.get(EntryProgramSettings.READ_TIMEOUT).toMillis(),
        node(settings));
  }

  private static EntrySettings node(Settings settings) {
    EntrySettings defaults =
        EntrySettings.defaults(
            settings.get(EntryProgramSettings.VM),
            new Incarnation(System.currentTimeMillis()),
            settings.get(EntryProgramSettings.DATA_CENTER));
    return new EntrySettings(
        defaults.vm(),
        defaults.incarnation(),
        defaults.dataCenter(),
        defaults.helloIntervalMs(),
        defaults.silenceTimeoutMs(),
        settings.get(EntryProgramSettings.GIVE_UP_HOLD).toMillis(),
        settings.get(EntryProgramSettings.GIVE_UP_STEP).toMillis(),
        defaults.resumeBackoffMs(),
        defaults.progressIntervalMs(),
        settings.get(EntryProgramSettings.BALANCER_DELAY).toMillis(),
        settings.get(EntryProgramSettings.MAX_REQUESTS));
  }
}
