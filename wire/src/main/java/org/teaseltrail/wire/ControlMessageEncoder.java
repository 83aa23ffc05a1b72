package org.teaseltrail.wire;

import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.ControlMessage.ConfigurationUpdate;

/**
 * Encodes messages to an entry VM. Configurations are sent as deltas to the previous one on the
 * same connection: a full configuration at the target cluster size takes 268 KB, and sending it for
 * each of 5,100 changes a day would use two thirds of the control traffic budget of a VM.
 *
 * <p>A delta applied to a wrong base would leave VMs with different configurations of the same
 * revision. This can't happen because TCP preserves the order within a connection, each new
 * connection starts with a full configuration, and a receiver closes the connection if a delta has
 * a different base.
 */
final class ControlMessageEncoder implements MessageEncoder<ControlMessage> {

  private final MessageCodec codec;
  private Configuration lastSent;

  ControlMessageEncoder(MessageCodec codec) {
    this.codec = codec;
  }

  @Override
  public byte[] encode(ControlMessage message) {
    if (message instanceof ConfigurationUpdate update) {
      return lastSent == null
          ? codec.configurationFrames().whole(update)
          : codec.configurationFrames().deltaFrame(lastSent, update);
    }
    return codec.encode(ControlMessage.class, message);
  }

  @Override
  public void onSent(ControlMessage message) {
    if (message instanceof ConfigurationUpdate update) {
      lastSent = update.configuration();
    }
  }
}
