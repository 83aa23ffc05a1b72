package org.teaseltrail.core.claim;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ClaimState;

/**
 * Claim of a request on a customer's idempotency key.
 *
 * @param key the claimed key
 * @param bodyDigest SHA-256 of the holder's body, in lower-case hexadecimal
 * @param nonIdempotent whether the holder must not run twice
 * @param holder the request that holds the key
 * @param vm the entry VM that reads the holder's answer
 * @param upstream the upstream for which the holder was granted
 * @param attempt number of grants of the holder so far; a release states the grant that it releases
 * @param state the holder's progress; never waiting, since a claim starts with a grant
 * @param changedAtMs log time of the last change, in milliseconds
 */
public record ClaimRecord(
    ClaimKey key,
    String bodyDigest,
    boolean nonIdempotent,
    RequestId holder,
    VmId vm,
    UpstreamId upstream,
    int attempt,
    ClaimState state,
    long changedAtMs) {

  /** Returns whether the claim is completed or marked as possibly run. */
  public boolean isFinished() {
    return state == ClaimState.COMPLETED || state == ClaimState.MAY_HAVE_RUN;
  }

  ClaimRecord regranted(VmId newVm, UpstreamId newUpstream, long nowMs) {
    return new ClaimRecord(
        key, bodyDigest, nonIdempotent, holder, newVm, newUpstream, attempt + 1, state, nowMs);
  }

  ClaimRecord adopted(VmId newVm, long nowMs) {
    return new ClaimRecord(
        key, bodyDigest, nonIdempotent, holder, newVm, upstream, attempt, state, nowMs);
  }

  ClaimRecord finished(ClaimState end, long nowMs) {
    return new ClaimRecord(
        key, bodyDigest, nonIdempotent, holder, vm, upstream, attempt, end, nowMs);
  }
}
