package org.teaseltrail.wire;

import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Encodes messages to an entry VM that schedules requests itself. Plans and registrations are sent
 * as deltas to the previous ones on the same connection.
 *
 * <p>Encoding them in full for each VM at each change would leave operators' orders unanswered and
 * cost the leader its lease once a plan is large: a plan with 1,776 routes takes 342,510 bytes and
 * 16 to 35 ms to encode, for each of sixty VMs. A delta with one changed route takes under 1,000
 * bytes and is encoded once. {@link ControlMessageEncoder} describes why a delta is never applied
 * to a wrong base.
 */
final class ServingReplyEncoder implements MessageEncoder<ServingReply> {

  private final MessageCodec codec;
  private ServingPlan lastSentPlan;
  private ServingReply.RegistryUpdate lastSentRegistrations;

  ServingReplyEncoder(MessageCodec codec) {
    this.codec = codec;
  }

  @Override
  public byte[] encode(ServingReply message) {
    if (message instanceof ServingReply.PlanUpdate update) {
      return codec.serving().plan(lastSentPlan, update);
    }
    if (message instanceof ServingReply.RegistryUpdate update) {
      return codec.serving().registrations(lastSentRegistrations, update);
    }
    if (message instanceof ServingReply.WaitForecast forecast) {
      return codec.serving().forecast(forecast);
    }
    return codec.encode(ServingReply.class, message);
  }

  @Override
  public void onSent(ServingReply message) {
    if (message instanceof ServingReply.PlanUpdate update) {
      lastSentPlan = update.plan();
    } else if (message instanceof ServingReply.RegistryUpdate update) {
      lastSentRegistrations = update;
    }
  }
}
