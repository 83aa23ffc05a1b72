package org.teaseltrail.entry;

import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Says where a control member takes connections of entry VMs.
 *
 * @param member the member
 * @param address its address
 */
public record MemberAddress(MemberId member, SocketAddress address) {

  /**
   * Reads {@code member@ip:port}.
   *
   * @param text the text
   * @throws IllegalArgumentException if it has another form
   */
  public static MemberAddress parse(String text) {
    int at = text.indexOf('@');
    int colon = text.lastIndexOf(':');
    if (at < 1 || colon < at + 2) {
      throw new IllegalArgumentException("not of the form member@ip:port");
    }
    SocketAddress address = SocketAddress.parse(text.substring(at + 1));
    return new MemberAddress(new MemberId(text.substring(0, at)), address);
  }
}
