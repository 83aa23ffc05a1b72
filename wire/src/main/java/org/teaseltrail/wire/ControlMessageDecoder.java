package org.teaseltrail.wire;

import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.ControlMessage.ConfigurationUpdate;

/** Decodes messages to an entry VM and restores full configurations from deltas. */
final class ControlMessageDecoder implements MessageDecoder<ControlMessage> {

  private final MessageCodec codec;
  private Configuration lastReceived;

  ControlMessageDecoder(MessageCodec codec) {
    this.codec = codec;
  }

  @Override
  public ControlMessage decode(byte[] body) {
    ControlMessage message =
        DeltaFrame.isDelta(body)
            ? whole(codec.decode(ConfigurationDelta.class, DeltaFrame.unwrap(body)))
            : codec.decode(ControlMessage.class, body);
    if (message instanceof ConfigurationUpdate update) {
      lastReceived = update.configuration();
    }
    return message;
  }

  private ConfigurationUpdate whole(ConfigurationDelta delta) {
    if (lastReceived == null) {
      throw new MalformedMessageException(
          ConfigurationDelta.class, "delta received before a full configuration");
    }
    return new ConfigurationUpdate(delta.fencing(), delta.applyTo(lastReceived));
  }
}
