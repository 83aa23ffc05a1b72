package org.teaseltrail.core.suspect;

import org.teaseltrail.core.quarantine.Fingerprint;

/** A request as the quarantine sees it. */
public interface QuarantineSubject {

  /**
   * Returns the scope of its fingerprint, which is cheap to compute.
   *
   * @return the scope
   */
  int scope();

  /**
   * Returns its fingerprint, which is computed from the whole content at the first call.
   *
   * @return the fingerprint
   */
  Fingerprint fingerprint();

  /** Marks it as quarantined but permitted to be sent to one upstream as a trial. */
  void markTrial();

  /**
   * Returns whether it may be sent as a trial.
   *
   * @return true if so
   */
  boolean isTrial();
}
