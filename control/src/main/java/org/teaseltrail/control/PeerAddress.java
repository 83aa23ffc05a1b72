package org.teaseltrail.control;

import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Listen address of a control member. The key is the VM and not the member's id, because a member
 * that has lost its disk returns with a new id on the same VM.
 *
 * @param vm VM of the member
 * @param address listen address of the member
 */
public record PeerAddress(VmId vm, SocketAddress address) {

  /**
   * Parses {@code vm@ip:port}.
   *
   * @param text the text to parse
   * @throws IllegalArgumentException if the text has a different format
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
