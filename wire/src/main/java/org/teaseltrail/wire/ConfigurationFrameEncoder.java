package org.teaseltrail.wire;

import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.ControlMessage.ConfigurationUpdate;

/** Encodes frames with configurations, each only once for all entry VMs. Thread-safe. */
final class ConfigurationFrameEncoder {

  private final MessageCodec codec;
  private final FrameCache frames = new FrameCache();

  ConfigurationFrameEncoder(MessageCodec codec) {
    this.codec = codec;
  }

  /** Returns the frame body for a full configuration. */
  byte[] whole(ConfigurationUpdate update) {
    return frames.getOrEncode(
        FrameCache.Content.EMPTY,
        versionedContent(update.configuration()),
        update.fencing(),
        () -> codec.encode(ControlMessage.class, update));
  }

  /** Returns the frame body for the delta from an older configuration. */
  byte[] deltaFrame(Configuration from, ConfigurationUpdate update) {
    return frames.getOrEncode(
        versionedContent(from),
        versionedContent(update.configuration()),
        update.fencing(),
        () -> made(from, update));
  }

  private static FrameCache.Content versionedContent(Configuration configuration) {
    return new FrameCache.Content(configuration.revision().value(), configuration);
  }

  private byte[] made(Configuration from, ConfigurationUpdate update) {
    ConfigurationDelta delta =
        ConfigurationDelta.between(update.fencing(), from, update.configuration());
    return DeltaFrame.wrap(codec.encode(ConfigurationDelta.class, delta));
  }
}
