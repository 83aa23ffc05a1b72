package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.relay.RelayOutcome;
import org.teaseltrail.core.stream.StreamOrigin;

/**
 * Headers by which entry VMs tell each other about a relayed request and its answer. They are added
 * to the caller's request and to the answer, and removed by the VM that receives them.
 */
final class RelayHeaders {

  private static final String FROM = "Relay-From";
  private static final String ELAPSED_MS = "Relay-Elapsed-Ms";
  private static final String SENDS = "Relay-Sends";
  private static final String MAYBE_RAN = "Relay-Maybe-Ran";
  private static final String OUTCOME = "Relay-Outcome";
  private static final String ORIGIN_SERVICE = "Relay-Origin-Service";
  private static final String ORIGIN_VERSION = "Relay-Origin-Version";

  /** Upper bound of the size that the headers add to a request. */
  static final int MAX_BYTES = 1_024;

  private RelayHeaders() {}

  static void writeHop(HttpHeaders headers, RelayHop hop) {
    headers.set(FROM, hop.from().value());
    headers.set(ELAPSED_MS, hop.elapsedMs());
    headers.set(SENDS, hop.sends());
    headers.set(MAYBE_RAN, hop.maybeRan());
    // A caller may have sent such headers itself.
    headers.remove(ORIGIN_SERVICE);
    headers.remove(ORIGIN_VERSION);
    hop.origin().ifPresent(origin -> writeOrigin(headers, origin));
  }

  /** Writes what began the stream of a relayed request, for the peer or in the peer's answer. */
  static void writeOrigin(HttpHeaders headers, StreamOrigin origin) {
    headers.set(ORIGIN_SERVICE, origin.service().value());
    origin.version().ifPresent(version -> headers.set(ORIGIN_VERSION, version.value()));
  }

  /**
   * Reads what began the stream of a relayed request and removes it; empty if it is not named.
   *
   * @throws IllegalArgumentException if it is malformed
   */
  static Optional<StreamOrigin> takeOrigin(HttpHeaders headers) {
    String service = headers.get(ORIGIN_SERVICE);
    String version = headers.get(ORIGIN_VERSION);
    headers.remove(ORIGIN_SERVICE);
    headers.remove(ORIGIN_VERSION);
    return Optional.ofNullable(service)
        .map(
            name ->
                new StreamOrigin(
                    new ServiceId(name), Optional.ofNullable(version).map(UpstreamVersion::new)));
  }

  /**
   * Reads the headers of a relayed request and removes them.
   *
   * @throws MalformedRequestException if any is missing or malformed
   */
  static RelayHop takeHop(HttpHeaders headers) throws MalformedRequestException {
    try {
      RelayHop hop =
          new RelayHop(
              new VmId(take(headers, FROM)),
              Math.max(0, Long.parseLong(take(headers, ELAPSED_MS))),
              Math.max(0, Integer.parseInt(take(headers, SENDS))),
              Boolean.parseBoolean(take(headers, MAYBE_RAN)),
              takeOrigin(headers));
      return hop;
    } catch (IllegalArgumentException e) {
      throw new MalformedRequestException("the headers of the relay are malformed");
    }
  }

  private static String take(HttpHeaders headers, String name) {
    String value = headers.get(name);
    headers.remove(name);
    if (value == null) {
      throw new IllegalArgumentException(name + " is missing");
    }
    return value;
  }

  static void writeOutcome(HttpHeaders headers, RelayOutcome outcome) {
    headers.set(OUTCOME, outcome.name());
  }

  /**
   * Reads the outcome that a peer's answer names and removes it; empty if there is no valid one.
   */
  static Optional<RelayOutcome> takeOutcome(HttpHeaders headers) {
    String value = headers.get(OUTCOME);
    headers.remove(OUTCOME);
    for (RelayOutcome outcome : RelayOutcome.values()) {
      if (outcome.name().equals(value)) {
        return Optional.of(outcome);
      }
    }
    return Optional.empty();
  }
}
