package org.teaseltrail.wire;

import java.util.Optional;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.serving.ServingReply;

/** Encodes frames with plans, registrations and forecasts, each only once for all entry VMs. */
final class ServingFrameEncoder {

  private final MessageCodec codec;
  private final FrameCache plans = new FrameCache();
  private final FrameCache registrations = new FrameCache();
  private final FrameCache forecasts = new FrameCache();

  ServingFrameEncoder(MessageCodec codec) {
    this.codec = codec;
  }

  /** Returns the frame body for a plan, as a delta if the receiver holds an older one (or null). */
  byte[] plan(ServingPlan from, ServingReply.PlanUpdate update) {
    return plans.getOrEncode(
        from == null ? FrameCache.Content.EMPTY : versionedContent(from),
        versionedContent(update.plan()),
        update.fencing(),
        () ->
            encodeDeltaOrFull(
                Optional.ofNullable(from)
                    .flatMap(held -> ServingDelta.OfPlan.between(held, update)),
                update));
  }

  /** Returns the frame body for registrations, as a delta if the receiver holds older ones. */
  byte[] registrations(ServingReply.RegistryUpdate from, ServingReply.RegistryUpdate update) {
    return registrations.getOrEncode(
        from == null ? FrameCache.Content.EMPTY : versionedContent(from),
        versionedContent(update),
        update.fencing(),
        () ->
            encodeDeltaOrFull(
                Optional.ofNullable(from)
                    .flatMap(held -> ServingDelta.OfRegistry.between(held, update)),
                update));
  }

  /** Returns the frame body for a forecast. */
  byte[] forecast(ServingReply.WaitForecast forecast) {
    return forecasts.getOrEncode(
        FrameCache.Content.EMPTY,
        new FrameCache.Content(0, forecast),
        forecast.fencing(),
        () -> codec.encode(ServingReply.class, forecast));
  }

  private static FrameCache.Content versionedContent(ServingPlan plan) {
    return new FrameCache.Content(plan.version(), plan);
  }

  private static FrameCache.Content versionedContent(ServingReply.RegistryUpdate registrations) {
    return new FrameCache.Content(registrations.revision(), registrations.present());
  }

  private byte[] encodeDeltaOrFull(Optional<? extends ServingDelta> delta, ServingReply whole) {
    return delta
        .map(told -> DeltaFrame.wrap(codec.encode(ServingDelta.class, told)))
        .orElseGet(() -> codec.encode(ServingReply.class, whole));
  }
}
