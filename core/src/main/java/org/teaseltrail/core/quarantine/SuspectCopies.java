package org.teaseltrail.core.quarantine;

/**
 * Copies of an undecided request at an entry VM.
 *
 * @param request fingerprint of the request
 * @param waiting number of copies that wait for the decision
 * @param running number of copies at upstreams
 */
public record SuspectCopies(Fingerprint request, int waiting, int running) {

  /**
   * Adds copies of the same request.
   *
   * @param other the copies to add
   * @return the sum
   */
  public SuspectCopies plus(SuspectCopies other) {
    return new SuspectCopies(request, waiting + other.waiting, running + other.running);
  }

  /**
   * Returns the number of copies.
   *
   * @return those that wait and those that run
   */
  public int count() {
    return waiting + running;
  }
}
