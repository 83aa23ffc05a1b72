package org.teaseltrail.core.control;

import java.util.Optional;
import org.teaseltrail.core.id.UpstreamVersion;

/** A caller's stream over all its tries. */
final class CallerStream {

  private static final int MAX_TRIES = 2;

  private final long createdNs;
  private Optional<String> begunBy = Optional.empty();
  private Optional<UpstreamVersion> version = Optional.empty();
  private boolean mixed;
  private int tries;

  CallerStream(long createdNs) {
    this.createdNs = createdNs;
  }

  /** Returns when its caller first wanted it. */
  long createdNs() {
    return createdNs;
  }

  /** Returns the id of the try that brought the first event. */
  Optional<String> begunBy() {
    return begunBy;
  }

  int tries() {
    return tries;
  }

  void countTry() {
    tries++;
  }

  /** Records an event that a try has brought. */
  void receive(UpstreamVersion from, String attempt) {
    begunBy = begunBy.or(() -> Optional.of(attempt));
    mixed |= version.isPresent() && !version.get().equals(from);
    version = Optional.of(version.orElse(from));
  }

  /** Returns whether it holds events of two versions. */
  boolean isMixed() {
    return mixed;
  }

  /** Returns whether it has had an event and may be taken up. */
  boolean mayTakeUp() {
    return version.isPresent() && tries < MAX_TRIES;
  }
}
