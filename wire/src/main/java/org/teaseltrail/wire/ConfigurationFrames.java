package org.teaseltrail.wire;

import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.ControlMessage.ConfigurationUpdate;

/** Writes the frames that carry configurations, each once for all entry VMs. Thread-safe. */
final class ConfigurationFrames {

  private final MessageCodec codec;
  private final FrameCache frames = new FrameCache();

  ConfigurationFrames(MessageCodec codec) {
    this.codec = codec;
  }

  /** Returns the body of the frame of a whole configuration. */
  byte[] whole(ConfigurationUpdate update) {
    return frames.body(
        FrameCache.Content.NONE,
        content(update.configuration()),
        update.fencing(),
        () -> codec.encode(ControlMessage.class, update));
  }

  /** Returns the body of the frame that tells what differs from a configuration. */
  byte[] delta(Configuration from, ConfigurationUpdate update) {
    return frames.body(
        content(from), content(update.configuration()), update.fencing(), () -> made(from, update));
  }

  private static FrameCache.Content content(Configuration configuration) {
    return new FrameCache.Content(configuration.revision().value(), configuration);
  }

  private byte[] made(Configuration from, ConfigurationUpdate update) {
    ConfigurationDelta delta =
        ConfigurationDelta.between(update.fencing(), from, update.configuration());
    return DeltaFrame.of(codec.encode(ConfigurationDelta.class, delta));
  }
}
