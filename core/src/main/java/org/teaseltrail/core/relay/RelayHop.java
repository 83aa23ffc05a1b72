package org.teaseltrail.core.relay;

import java.util.Optional;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.stream.StreamOrigin;

/**
 * What a peer has to know of a request's life before it was relayed, so that its time, its attempts
 * and whether it may have run are counted once, and a stream goes on where it can.
 *
 * @param from the VM that took the request from its caller
 * @param elapsedMs time since that VM had read it completely, in milliseconds
 * @param sends number of upstreams that have received it
 * @param maybeRan whether one of them may have run it
 * @param origin what began its stream, if that is known
 */
public record RelayHop(
    VmId from, long elapsedMs, int sends, boolean maybeRan, Optional<StreamOrigin> origin) {

  /**
   * Creates the hop of a request whose stream has not begun.
   *
   * @param from the VM that took the request from its caller
   * @param elapsedMs time since that VM had read it completely, in milliseconds
   * @param sends number of upstreams that have received it
   * @param maybeRan whether one of them may have run it
   */
  public RelayHop(VmId from, long elapsedMs, int sends, boolean maybeRan) {
    this(from, elapsedMs, sends, maybeRan, Optional.empty());
  }
}
