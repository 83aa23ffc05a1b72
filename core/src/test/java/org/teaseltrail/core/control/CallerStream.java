package org.teaseltrail.core.control;

import java.util.Optional;
import java.util.OptionalInt;
import org.teaseltrail.core.id.UpstreamVersion;

/** A caller's stream over all its tries. */
final class CallerStream {

  private final long createdNs;
  private final int maxTries;
  private OptionalInt meetingVm = OptionalInt.empty();
  private boolean resumed;
  private Optional<String> begunBy = Optional.empty();
  private Optional<UpstreamVersion> version = Optional.empty();
  private boolean mixed;
  private int tries;

  CallerStream(long createdNs, int maxTries) {
    this.createdNs = createdNs;
    this.maxTries = maxTries;
  }

  /** Sends all further tries to one VM. */
  void meetAt(int vm) {
    meetingVm = OptionalInt.of(vm);
  }

  /** Returns the VM that all further tries go to, if there is one. */
  OptionalInt meetingVm() {
    return meetingVm;
  }

  /** Returns the version of its first event. */
  Optional<UpstreamVersion> version() {
    return version;
  }

  /** Records that a try has continued it. */
  void resume() {
    resumed = true;
  }

  /** Returns whether a try has continued it. */
  boolean isResumed() {
    return resumed;
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
    return version.isPresent() && tries < maxTries;
  }
}
