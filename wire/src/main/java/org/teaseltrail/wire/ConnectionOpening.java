package org.teaseltrail.wire;

/**
 * Is the first frame of each connection, sent by the side that connects. It lets one port take
 * several kinds of speaker.
 *
 * @param protocolVersion version of the frames and messages that follow
 * @param speaker what kind of process connects
 * @param speakerId its VM id or member id as text
 */
public record ConnectionOpening(int protocolVersion, SpeakerKind speaker, String speakerId) {

  /** Version that this program speaks. */
  public static final int PROTOCOL_VERSION = 1;

  /**
   * Makes an opening in this program's version.
   *
   * @param speaker what kind of process connects
   * @param speakerId its VM id or member id as text
   * @return the opening
   */
  public static ConnectionOpening of(SpeakerKind speaker, String speakerId) {
    return new ConnectionOpening(PROTOCOL_VERSION, speaker, speakerId);
  }
}
