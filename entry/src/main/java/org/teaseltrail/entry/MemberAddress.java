package org.teaseltrail.entry;

import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * The address on which a control member accepts connections of entry VMs.
 *
 * @param member the member
 * @param address its address
 */
public record MemberAddress(MemberId member, SocketAddress address) {

  /**
   * Parses {@code member@ip:port}.
   *
   * @param text the text to parse
   * @throws IllegalArgumentException if the text doesn't have this format
   */
  public static MemberAddress parse(String text) {
    int atIndex = text.indexOf('@');
    int colonIndex = text.lastIndexOf(':');
    if (atIndex < 1 || colonIndex < atIndex + 2) {
      throw new IllegalArgumentException("not of the form member@ip:port");
    }
    SocketAddress address = SocketAddress.parse(text.substring(atIndex + 1));
    return new MemberAddress(new MemberId(text.substring(0, atIndex)), address);
  }
}
