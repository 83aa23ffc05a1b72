package org.teaseltrail.core.suspect;

import java.util.Optional;
import org.teaseltrail.core.quarantine.Fingerprint;

/** A request as the quarantine sees it. */
public abstract class QuarantineSubject {

  private Optional<Fingerprint> fingerprint = Optional.empty();
  private boolean trial;

  /**
   * Returns the scope of its fingerprint, which is cheap to compute.
   *
   * @return the scope
   */
  public abstract int scope();

  /**
   * Computes its fingerprint from the whole content.
   *
   * @return the fingerprint
   */
  protected abstract Fingerprint computeFingerprint();

  /**
   * Returns its fingerprint, which is computed at the first call.
   *
   * @return the fingerprint
   */
  public final Fingerprint fingerprint() {
    if (fingerprint.isEmpty()) {
      fingerprint = Optional.of(computeFingerprint());
    }
    return fingerprint.get();
  }

  /** Marks it as quarantined but permitted to be sent to one upstream as a trial. */
  public final void markTrial() {
    trial = true;
  }

  /**
   * Returns whether it may be sent as a trial.
   *
   * @return true if so
   */
  public final boolean isTrial() {
    return trial;
  }
}
