package org.teaseltrail.wire;

import java.util.Optional;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.serving.ServingReply;

/** Writes the frames that carry plans and registrations, each once for all entry VMs. */
final class ServingFrames {

  private final MessageCodec codec;
  private final FrameCache plans = new FrameCache();
  private final FrameCache registrations = new FrameCache();

  ServingFrames(MessageCodec codec) {
    this.codec = codec;
  }

  /** Returns the body of the frame that brings a plan to whom the one before was sent, if any. */
  byte[] plan(ServingPlan from, ServingReply.PlanUpdate update) {
    return plans.body(
        from == null ? FrameCache.Content.NONE : content(from),
        content(update.plan()),
        update.fencing(),
        () ->
            written(
                Optional.ofNullable(from)
                    .flatMap(held -> ServingDelta.OfPlan.between(held, update)),
                update));
  }

  /** Returns the body of the frame that brings registrations, likewise. */
  byte[] registrations(ServingReply.RegistryUpdate from, ServingReply.RegistryUpdate update) {
    return registrations.body(
        from == null ? FrameCache.Content.NONE : content(from),
        content(update),
        update.fencing(),
        () ->
            written(
                Optional.ofNullable(from)
                    .flatMap(held -> ServingDelta.OfRegistry.between(held, update)),
                update));
  }

  private static FrameCache.Content content(ServingPlan plan) {
    return new FrameCache.Content(plan.version(), plan);
  }

  private static FrameCache.Content content(ServingReply.RegistryUpdate registrations) {
    return new FrameCache.Content(registrations.revision(), registrations.present());
  }

  private byte[] written(Optional<? extends ServingDelta> delta, ServingReply whole) {
    return delta
        .map(told -> DeltaFrame.of(codec.encode(ServingDelta.class, told)))
        .orElseGet(() -> codec.encode(ServingReply.class, whole));
  }
}
