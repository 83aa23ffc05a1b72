package org.teaseltrail.wire;

import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Writes messages to an entry VM that places requests itself; of a plan and of the registrations
 * only what differs from those that went out before on the same connection.
 *
 * <p>Guards against a leader that writes the whole of both for each VM at each change: it shows as
 * orders without an answer and as lost leases once a plan is large, since one with 1,776 routes
 * takes 342,510 bytes and 16 to 35 ms to write, for each of sixty VMs. The change of one route
 * takes under 1,000 bytes and is written once. What keeps a delta from the wrong base: see {@link
 * ControlMessageEncoder}.
 */
final class ServingReplyEncoder implements MessageEncoder<ServingReply> {

  private final MessageCodec codec;
  private ServingPlan sentPlan;
  private ServingReply.RegistryUpdate sentRegistrations;

  ServingReplyEncoder(MessageCodec codec) {
    this.codec = codec;
  }

  @Override
  public byte[] encode(ServingReply message) {
    if (message instanceof ServingReply.PlanUpdate update) {
      return codec.serving().plan(sentPlan, update);
    }
    if (message instanceof ServingReply.RegistryUpdate update) {
      return codec.serving().registrations(sentRegistrations, update);
    }
    return codec.encode(ServingReply.class, message);
  }

  @Override
  public void sent(ServingReply message) {
    if (message instanceof ServingReply.PlanUpdate update) {
      sentPlan = update.plan();
    } else if (message instanceof ServingReply.RegistryUpdate update) {
      sentRegistrations = update;
    }
  }
}
