package org.teaseltrail.wire;

import java.nio.ByteBuffer;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.ControlMessage.ConfigurationUpdate;

/**
 * Writes the frames that carry configurations, and keeps the last of each kind: a leader sends the
 * same one to each entry VM, hundreds of them at the two-year size. Thread-safe.
 */
final class ConfigurationFrames {

  /** The one byte that MessagePack never uses; it marks the frame of a delta. */
  static final byte DELTA_MARK = (byte) 0xc1;

  private final MessageCodec codec;
  private Written lastWhole = new Written(null, null, null, null);
  private Written lastDelta = new Written(null, null, null, null);

  ConfigurationFrames(MessageCodec codec) {
    this.codec = codec;
  }

  /** Returns the body of the frame of a whole configuration. */
  synchronized byte[] whole(ConfigurationUpdate update) {
    if (!lastWhole.isOf(null, update)) {
      byte[] body = codec.encode(ControlMessage.class, update);
      lastWhole = new Written(null, update.configuration(), update.fencing(), body);
    }
    return lastWhole.body();
  }

  /** Returns the body of the frame that tells what differs from a configuration. */
  synchronized byte[] delta(Configuration from, ConfigurationUpdate update) {
    if (!lastDelta.isOf(from, update)) {
      lastDelta = new Written(from, update.configuration(), update.fencing(), made(from, update));
    }
    return lastDelta.body();
  }

  private byte[] made(Configuration from, ConfigurationUpdate update) {
    ConfigurationDelta delta =
        ConfigurationDelta.between(update.fencing(), from, update.configuration());
    byte[] body = codec.encode(ConfigurationDelta.class, delta);
    return ByteBuffer.allocate(1 + body.length).put(DELTA_MARK).put(body).array();
  }

  /**
   * Is the body that was written last. Configurations are told apart by identity: they are
   * immutable, and comparing whole ones would cost as much as writing them.
   */
  private record Written(Configuration from, Configuration to, FencingNumber fencing, byte[] body) {

    boolean isOf(Configuration wantedFrom, ConfigurationUpdate update) {
      return body != null
          && from == wantedFrom
          && to == update.configuration()
          && fencing.equals(update.fencing());
    }
  }
}
