package org.teaseltrail.bench.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.claim.ClaimKey;
import org.teaseltrail.core.claim.ClaimLimits;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.configuration.TierDefinition;
import org.teaseltrail.core.id.ChangeId;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.IdempotencyKey;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.state.ClusterSnapshot;
import org.teaseltrail.core.state.ClusterState;
import org.teaseltrail.core.state.Command;

/** Creates cluster states of a given size, with ids of the same length as in a deployment. */
final class SampleStateFactory {

  private static final int POOLS = 5;
  private static final int TIERS = 5;

  private SampleStateFactory() {}

  static Command openClaim(long number) {
    return new Command.OpenClaim(
        new ClaimKey(
            new CustomerId("customer-" + number % 440),
            new IdempotencyKey("8b1a9953-c461-4d02-9a2e-" + number)),
        hash(number),
        true,
        request(number),
        new VmId("entry-regina-" + number % 9),
        new UpstreamId("tutor-llm-" + number % 1_100),
        number);
  }

  /** Returns a state with the given numbers of customers, upstreams and completed claims. */
  static ClusterState of(int customers, int upstreams, int claims) {
    ClusterState state = new ClusterState(ClusterSnapshot.empty());
    state.apply(new Command.ExpireClaims(new ClaimLimits(10_000_000, 1L << 40, 1L << 40), 0));
    state.apply(
        new Command.ChangeConfiguration(
            new ChangeId("fill"), Optional.empty(), parts(customers, upstreams), 0));
    for (long i = 0; i < claims; i++) {
      state.apply(openClaim(i));
      state.apply(new Command.CompleteClaim(request(i), EndKind.COMPLETED, i));
    }
    return state;
  }

  /**
   * Returns the configuration change of the given number, which replaces one of fifty customers.
   */
  static Command change(int number) {
    return new Command.ChangeConfiguration(
        new ChangeId("change-" + number),
        Optional.empty(),
        List.of(new ConfigurationChange.PutCustomer(customer(number % 50))),
        number);
  }

  static List<ConfigurationChange> parts(int customers, int upstreams) {
    List<ConfigurationChange> parts = new ArrayList<>();
    for (int i = 0; i < POOLS; i++) {
      PoolId pool = new PoolId("pool-" + i);
      parts.add(new ConfigurationChange.PutPool(new Pool(pool, 60_000, 3)));
      ModelTarget target =
          new ModelTarget(
              new ModelId("tutor-llm-" + i), new ModelVersion("2026-11"), Optional.empty());
      parts.add(
          new ConfigurationChange.PutRoute(new Route(new RouteId("route-" + i), target, pool)));
    }
    for (int i = 1; i <= TIERS; i++) {
      parts.add(new ConfigurationChange.PutTier(new TierDefinition(new Tier(i), "tier " + i)));
    }
    for (int i = 0; i < customers; i++) {
      parts.add(new ConfigurationChange.PutCustomer(customer(i)));
    }
    for (int i = 0; i < upstreams; i++) {
      parts.add(
          new ConfigurationChange.PutUpstream(
              new AllowedUpstream(
                  new UpstreamId("tutor-llm-" + i),
                  new PoolId("pool-" + i % POOLS),
                  hash(i),
                  false,
                  true)));
    }
    return parts;
  }

  private static Customer customer(int number) {
    return new Customer(
        new CustomerId("customer-" + number),
        new Tier(number % TIERS + 1),
        List.of(hash(1_000_000L + number)),
        20,
        40,
        1);
  }

  private static RequestId request(long number) {
    return new RequestId("entry-regina-" + number % 9 + ".1764700000." + number);
  }

  private static String hash(long number) {
    return String.format("%064x", number);
  }
}
