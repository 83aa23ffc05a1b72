package org.teaseltrail.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.teaseltrail.core.configuration.ConfigurationChange.PutCustomer;
import org.teaseltrail.core.configuration.ConfigurationChange.PutPool;
import org.teaseltrail.core.configuration.ConfigurationChange.PutRoute;
import org.teaseltrail.core.configuration.ConfigurationChange.PutUpstream;
import org.teaseltrail.core.configuration.ConfigurationChange.RemovePool;
import org.teaseltrail.core.configuration.ConfigurationChange.RemoveRoute;
import org.teaseltrail.core.configuration.ConfigurationChange.SetDraining;
import org.teaseltrail.core.configuration.ConfigurationFailure.Duplicate;
import org.teaseltrail.core.configuration.ConfigurationFailure.EmptyChange;
import org.teaseltrail.core.configuration.ConfigurationFailure.InUse;
import org.teaseltrail.core.configuration.ConfigurationFailure.InvalidValue;
import org.teaseltrail.core.configuration.ConfigurationFailure.MissingReference;
import org.teaseltrail.core.configuration.ConfigurationFailure.NotFound;
import org.teaseltrail.core.configuration.RouteTarget.ServiceTarget;
import org.teaseltrail.core.control.Samples;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;

class ConfigurationEditorTest {

  private static final PoolId POOL = Samples.POOL;
  private static final EntityRef FIRST_CUSTOMER = EntityRef.of(Samples.CUSTOMER);

  private final Configuration fleet = changed(Configuration.empty(), Samples.fleet(0, "u1"));

  private static Configuration changed(Configuration before, ConfigurationChange... items) {
    ConfigurationResult result = ConfigurationEditor.apply(before, List.of(items));
    return ((ConfigurationResult.Changed) result).configuration();
  }

  private static Customer customer(String id, List<String> hashes, double rate, int weight) {
    return new Customer(new CustomerId(id), new Tier(1), hashes, rate, 1, weight);
  }

  private static Route serviceRoute(String id, String... methods) {
    ServiceTarget target = new ServiceTarget(new ServiceId("portal"), Set.of(methods));
    return new Route(new RouteId(id), target, POOL);
  }

  static Stream<Arguments> brokenChanges() {
    PoolId none = new PoolId("none");
    UpstreamId unknown = new UpstreamId("u9");
    EntityRef pool = EntityRef.of(POOL);
    EntityRef route = EntityRef.of(new RouteId("tutor"));
    return Stream.of(
        broken(new EmptyChange()),
        broken(new NotFound(EntityRef.of(unknown)), new SetDraining(unknown, true)),
        broken(new NotFound(EntityRef.of(none)), new RemovePool(none)),
        broken(new InUse(pool, route), new RemovePool(POOL)),
        broken(
            new InUse(pool, EntityRef.of(new UpstreamId("u1"))),
            new RemovePool(POOL),
            new RemoveRoute(new RouteId("tutor"))),
        broken(
            new MissingReference(EntityRef.of(unknown), EntityRef.of(none)),
            new PutUpstream(new AllowedUpstream(unknown, none, Samples.HASH, false, true))),
        broken(
            new MissingReference(EntityRef.of(new CustomerId("x")), EntityRef.of(new Tier(4))),
            Samples.customer("x", 4)),
        broken(
            new Duplicate(EntityRef.of(new CustomerId("x")), EntityRef.of(new CustomerId("y"))),
            new PutCustomer(customer("y", List.of(Samples.HASH), 0, 1)),
            new PutCustomer(customer("x", List.of(Samples.HASH), 0, 1))),
        broken(
            new Duplicate(EntityRef.of(new RouteId("p")), EntityRef.of(new RouteId("q"))),
            new PutRoute(serviceRoute("q", "POST")),
            new PutRoute(serviceRoute("p"))),
        invalid(FIRST_CUSTOMER, ValueRule.RATE, customer("division-7", List.of(), -1, 1)),
        invalid(FIRST_CUSTOMER, ValueRule.WEIGHT, customer("division-7", List.of(), 0, 0)),
        invalid(
            FIRST_CUSTOMER,
            ValueRule.SHA256_HASH,
            customer("division-7", List.of("secret in clear"), 0, 1)),
        broken(new InvalidValue(pool, ValueRule.MAX_WAITING), new PutPool(new Pool(POOL, 0, 0))),
        broken(
            new InvalidValue(EntityRef.of(new RouteId("p")), ValueRule.HTTP_METHOD),
            new PutRoute(serviceRoute("p", "post"))));
  }

  private static Arguments broken(ConfigurationFailure failure, ConfigurationChange... items) {
    return Arguments.of(failure, List.of(items));
  }

  private static Arguments invalid(EntityRef entity, ValueRule rule, Customer customer) {
    return broken(new InvalidValue(entity, rule), new PutCustomer(customer));
  }

  @ParameterizedTest
  @MethodSource("brokenChanges")
  void refusesWhatBreaksRule(ConfigurationFailure failure, List<ConfigurationChange> items) {
    assertThat(ConfigurationEditor.apply(fleet, items))
        .isEqualTo(new ConfigurationResult.Refused(failure));
  }

  @Test
  void takesItemsInAnyOrderAndCountsOneRevision() {
    Configuration after =
        changed(Configuration.empty(), Samples.customer("x", 2), Samples.tier(2), Samples.tier(1));
    assertThat(after.revision()).isEqualTo(new Revision(1));
    assertThat(after.customers()).hasSize(1);
  }

  @Test
  void drainsAndEndsDraining() {
    UpstreamId upstream = new UpstreamId("u1");
    Configuration drained = changed(fleet, new SetDraining(upstream, true));
    assertThat(Optional.of(drained.upstreams().get(upstream)))
        .get()
        .matches(AllowedUpstream::draining);
    Configuration again = changed(drained, new SetDraining(upstream, false));
    assertThat(again.upstreams()).isEqualTo(fleet.upstreams());
  }
}
