package org.teaseltrail.wire;

import java.util.Arrays;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.ControlMessage.ConfigurationUpdate;

/** Reads messages to an entry VM, and makes configurations whole again. */
final class ControlMessageDecoder implements MessageDecoder<ControlMessage> {

  private final MessageCodec codec;
  private Configuration received;

  ControlMessageDecoder(MessageCodec codec) {
    this.codec = codec;
  }

  @Override
  public ControlMessage decode(byte[] body) {
    ControlMessage message =
        body.length > 0 && body[0] == ConfigurationFrames.DELTA_MARK
            ? whole(
                codec.decode(ConfigurationDelta.class, Arrays.copyOfRange(body, 1, body.length)))
            : codec.decode(ControlMessage.class, body);
    if (message instanceof ConfigurationUpdate update) {
      received = update.configuration();
    }
    return message;
  }

  private ConfigurationUpdate whole(ConfigurationDelta delta) {
    if (received == null) {
      throw new MalformedMessageException(ConfigurationDelta.class, "without a base");
    }
    return new ConfigurationUpdate(delta.fencing(), delta.applyTo(received));
  }
}
