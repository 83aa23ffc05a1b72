package org.teaseltrail.wire;

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
        DeltaFrame.isMarked(body)
            ? whole(codec.decode(ConfigurationDelta.class, DeltaFrame.content(body)))
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
