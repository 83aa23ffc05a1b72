package org.teaseltrail.core.suspect;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntPredicate;
import org.teaseltrail.core.quarantine.Fingerprint;
import org.teaseltrail.core.quarantine.PartFeature;

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

  /**
   * Returns the parts of its prompt other than the last.
   *
   * @return the parts, none if its prompt has no known parts
   */
  public List<PartFeature> parts() {
    return List.of();
  }

  /**
   * Returns the fingerprints of its content and of the parts of its prompt.
   *
   * @param isKnownScope selects the scopes whose fingerprints are needed, so that no others are
   *     computed
   * @return the fingerprints
   */
  public final List<Fingerprint> fingerprints(IntPredicate isKnownScope) {
    List<Fingerprint> known = new ArrayList<>();
    if (isKnownScope.test(scope())) {
      known.add(fingerprint());
    }
    for (PartFeature part : parts()) {
      if (isKnownScope.test(part.scope())) {
        known.add(part.fingerprint());
      }
    }
    return known;
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
