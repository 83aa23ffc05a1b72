package org.teaseltrail.wire;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.plan.ClientLimits;
import org.teaseltrail.core.plan.PlanCustomer;
import org.teaseltrail.core.plan.PlanRoute;
import org.teaseltrail.core.plan.PlanService;
import org.teaseltrail.core.plan.ServingPlan;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.serving.ListDelta;
import org.teaseltrail.core.serving.ServingReply;

/** Is what tells a plan or registrations from those sent before on the same connection. */
sealed interface ServingDelta {

  /**
   * Tells what differs between two plans. Services and customers come whole: they are few.
   *
   * @param fencing the leadership that confirms the plan
   * @param base version of the plan sent before
   * @param version its own version
   * @param routes what differs in the routes
   * @param services all services
   * @param limits bounds of callers' connections
   * @param customers all customers
   */
  record OfPlan(
      FencingNumber fencing,
      long base,
      long version,
      ListDelta<RouteId, PlanRoute> routes,
      List<PlanService> services,
      ClientLimits limits,
      List<PlanCustomer> customers)
      implements ServingDelta {

    /** Copies the lists. */
    public OfPlan {
      services = List.copyOf(services);
      customers = List.copyOf(customers);
    }

    /** Returns the difference, or empty if only the whole plan can tell it. */
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
                      to.customers()));
    }

    /**
     * Returns the plan that it tells of.
     *
     * @throws MalformedMessageException if it doesn't follow from this plan
     */
    ServingPlan applyTo(ServingPlan from) {
      if (from == null || from.version() != base) {
        throw new MalformedMessageException(ServingDelta.class, "of another plan");
      }
      return new ServingPlan(
          version, routes.applyTo(from.routes(), PlanRoute::id), services, limits, customers);
    }
  }

  /**
   * Tells what differs between the registrations of two revisions.
   *
   * @param fencing the leadership that confirms them
   * @param base revision of those sent before
   * @param revision their own revision
   * @param present what differs
   */
  record OfRegistry(
      FencingNumber fencing, long base, long revision, ListDelta<UpstreamId, Registration> present)
      implements ServingDelta {

    /** Returns the difference, or empty if only all registrations can tell it. */
    static Optional<OfRegistry> between(
        ServingReply.RegistryUpdate from, ServingReply.RegistryUpdate update) {
      return ListDelta.between(from.present(), update.present(), Registration::id)
          .map(
              present ->
                  new OfRegistry(update.fencing(), from.revision(), update.revision(), present));
    }

    /**
     * Returns the registrations that it tells of.
     *
     * @throws MalformedMessageException if it doesn't follow from these
     */
    ServingReply.RegistryUpdate applyTo(ServingReply.RegistryUpdate from) {
      if (from == null || from.revision() != base) {
        throw new MalformedMessageException(ServingDelta.class, "of other registrations");
      }
      return new ServingReply.RegistryUpdate(
          fencing, revision, present.applyTo(from.present(), Registration::id));
    }
  }
}
