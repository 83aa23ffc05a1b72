package org.teaseltrail.wire;

import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Decodes messages to an entry VM that schedules requests itself, and restores full plans and
 * registrations from deltas.
 */
final class ServingReplyDecoder implements MessageDecoder<ServingReply> {

  private final MessageCodec codec;
  private ServingPlan plan;
  private ServingReply.RegistryUpdate registrations;

  ServingReplyDecoder(MessageCodec codec) {
    this.codec = codec;
  }

  @Override
  public ServingReply decode(byte[] body) {
    ServingReply message =
        DeltaFrame.isDelta(body)
            ? whole(codec.decode(ServingDelta.class, DeltaFrame.unwrap(body)))
            : codec.decode(ServingReply.class, body);
    if (message instanceof ServingReply.PlanUpdate update) {
      plan = update.plan();
    } else if (message instanceof ServingReply.RegistryUpdate update) {
      registrations = update;
    }
    return message;
  }

  private ServingReply whole(ServingDelta delta) {
    if (delta instanceof ServingDelta.OfPlan ofPlan) {
      return new ServingReply.PlanUpdate(ofPlan.fencing(), ofPlan.applyTo(plan));
    }
    return ((ServingDelta.OfRegistry) delta).applyTo(registrations);
  }
}
