package org.teaseltrail.control;

import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Says where a control member listens. It is found by its VM: a member with a lost disk comes back
 * under a new id at the same place.
 *
 * @param vm the member's VM
 * @param address its address
 */
public record PeerAddress(VmId vm, SocketAddress address) {

  /**
   * Reads {@code vm@ip:port}.
   *
   * @param text the text
   * @throws IllegalArgumentException if it has another form
   */
  public static PeerAddress parse(String text) {
    int at = text.indexOf('@');
    int colon = text.lastIndexOf(':');
    if (at < 1 || colon < at + 2) {
      throw new IllegalArgumentException("not of the form vm@ip:port");
    }
    SocketAddress address = SocketAddress.parse(text.substring(at + 1));
    return new PeerAddress(new VmId(text.substring(0, at)), address);
  }
}
