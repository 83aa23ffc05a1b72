package org.teaseltrail.wire;

/**
 * First frame of each connection, sent by the client. It lets one port serve several types of
 * clients.
 *
 * @param protocolVersion version of the protocol that the client uses
 * @param speaker type of the client
 * @param speakerId VM id or member id of the client as text
 */
public record ConnectionHandshake(int protocolVersion, ClientType speaker, String speakerId) {

  /** Protocol version of this program. */
  public static final int PROTOCOL_VERSION = 1;

  /**
   * Creates a handshake with the protocol version of this program.
   *
   * @param speaker type of the client
   * @param speakerId VM id or member id of the client as text
   * @return the handshake
   */
  public static ConnectionHandshake of(ClientType speaker, String speakerId) {
    return new ConnectionHandshake(PROTOCOL_VERSION, speaker, speakerId);
  }
}
