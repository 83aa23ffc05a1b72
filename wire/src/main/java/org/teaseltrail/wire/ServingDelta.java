package org.teaseltrail.wire;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.plan.ClientLimits;
import org.teaseltrail.core.plan.KeyPolicy;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.plan.PlanService;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.serving.ListDelta;
import org.teaseltrail.core.serving.ServingReply;

/** A delta of a plan or of registrations to those sent before on the same connection. */
sealed interface ServingDelta {

  /**
   * Delta between two plans. Services and customers are sent in full, as there are few.
   *
   * @param fencing fencing number of the leader that confirms the plan
   * @param base version of the plan that the delta applies to
   * @param version version of the resulting plan
   * @param routes delta of the routes
   * @param services all services
   * @param limits limits of callers' connections
   * @param customers all customers
   * @param keyPolicy whether callers are asked for keys
   */
  record OfPlan(
      FencingNumber fencing,
      long base,
      long version,
      ListDelta<RouteId, PlanRoute> routes,
      List<PlanService> services,
      ClientLimits limits,
      List<PlanCustomer> customers,
      Optional<KeyPolicy> keyPolicy)
      implements ServingDelta {

    /** Copies the lists. */
    public OfPlan {
      services = List.copyOf(services);
      customers = List.copyOf(customers);
    }

    /** Returns the delta, or empty if the change can only be sent as a full plan. */
    static Optional<OfPlan> between(ServingPlan from, ServingReply.PlanUpdate update) {
      ServingPlan to = update.plan();
      return ListDelta.between(from.routes(), to.routes(), PlanRoute::id)
          .map(
              routes ->
                  new OfPlan(
                      update.fencing(),
                      from.version(),
                      to.version(),
                      routes,
                      to.services(),
                      to.limits(),
                      to.customers(),
                      to.keyPolicy()));
    }

    /**
     * Returns the plan that results from applying this delta.
     *
     * @throws MalformedMessageException if the given plan is not the base of this delta
     */
    ServingPlan applyTo(ServingPlan from) {
      if (from == null || from.version() != base) {
        throw new MalformedMessageException(ServingDelta.class, "delta has a different base plan");
      }
      return new ServingPlan(
          version,
          routes.applyTo(from.routes(), PlanRoute::id),
          services,
          limits,
          customers,
          keyPolicy);
    }
  }

  /**
   * Delta between the registrations of two revisions.
   *
   * @param fencing fencing number of the leader that confirms the registrations
   * @param base revision of the registrations that the delta applies to
   * @param revision revision of the resulting registrations
   * @param present delta of the registrations
   */
  record OfRegistry(
      FencingNumber fencing, long base, long revision, ListDelta<UpstreamId, Registration> present)
      implements ServingDelta {

    /** Returns the delta, or empty if the change can only be sent as full registrations. */
    static Optional<OfRegistry> between(
        ServingReply.RegistryUpdate from, ServingReply.RegistryUpdate update) {
      return ListDelta.between(from.present(), update.present(), Registration::id)
          .map(
              present ->
                  new OfRegistry(update.fencing(), from.revision(), update.revision(), present));
    }

    /**
     * Returns the registrations that result from applying this delta.
     *
     * @throws MalformedMessageException if the given ones are not the base of this delta
     */
    ServingReply.RegistryUpdate applyTo(ServingReply.RegistryUpdate from) {
      if (from == null || from.revision() != base) {
        throw new MalformedMessageException(
            ServingDelta.class, "delta has different base registrations");
      }
      return new ServingReply.RegistryUpdate(
          fencing, revision, present.applyTo(from.present(), Registration::id));
    }
  }
}
