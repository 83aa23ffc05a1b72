package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.configuration.Pool;
import org.teaseltrail.core.configuration.Route;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.configuration.TierDefinition;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.IdempotencyKey;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.RouteId;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.Claim;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.RequestKind;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.core.upstream.UpstreamPhase;
import org.teaseltrail.core.upstream.UpstreamRole;

/** Creates the small configuration that tests use: one pool with one model. */
public final class Samples {

  public static final CustomerId CUSTOMER = new CustomerId("division-7");
  public static final PoolId POOL = new PoolId("tutor");
  public static final String HASH = "a".repeat(64);

  private static final ModelTarget TARGET =
      new ModelTarget(new ModelId("tutor-llm"), new ModelVersion("3"), Optional.empty());

  private Samples() {}

  /**
   * Returns the changes that create the configuration, with the given number of copies of the
   * model.
   */
  public static ConfigurationChange[] fleet(int copies, String... upstreams) {
    var changes = new ArrayList<ConfigurationChange>();
    changes.add(tier(1));
    changes.add(customer(CUSTOMER.value(), 1));
    changes.add(new ConfigurationChange.PutPool(new Pool(POOL, 60_000, copies)));
    changes.add(new ConfigurationChange.PutRoute(new Route(new RouteId("tutor"), TARGET, POOL)));
    for (String upstream : upstreams) {
      changes.add(
          new ConfigurationChange.PutUpstream(
              new AllowedUpstream(new UpstreamId(upstream), POOL, HASH, false, true)));
    }
    return changes.toArray(new ConfigurationChange[0]);
  }

  /** Returns the change that creates a tier. */
  public static ConfigurationChange tier(int rank) {
    return new ConfigurationChange.PutTier(new TierDefinition(new Tier(rank), "tier " + rank));
  }

  /** Returns the change that creates a customer without limits. */
  public static ConfigurationChange customer(String id, int tier) {
    return new ConfigurationChange.PutCustomer(
        new Customer(new CustomerId(id), new Tier(tier), List.of(), 0, 0, 1));
  }

  static EntryMessage.UpstreamSeen seen(String upstream, String dataCenter, long sequence) {
    return seen(
        upstream,
        dataCenter,
        sequence,
        List.of(new ServedModel(TARGET.model(), TARGET.version(), Set.of())));
  }

  static EntryMessage.UpstreamSeen seen(
      String upstream, String dataCenter, long sequence, List<ServedModel> models) {
    return new EntryMessage.UpstreamSeen(
        new Announcement(
            new UpstreamId(upstream),
            new Incarnation(1),
            sequence,
            new SocketAddress("127.0.0.1", 9_000),
            new DataCenterId(dataCenter),
            UpstreamRole.GENERATE,
            UpstreamPhase.SERVING,
            models,
            Optional.empty(),
            200,
            100_000,
            new LoadReport(0, 0, 0, 4, 0, 0),
            60_000),
        0);
  }

  static Ticket ticket(String request, Optional<Claim> claim) {
    return new Ticket(
        new RequestId(request),
        CUSTOMER,
        new Tier(1),
        new RouteId("tutor"),
        POOL,
        RequestKind.GENERATION,
        100,
        20,
        List.of(),
        0,
        0,
        claim);
  }

  static EntryMessage.Offer offer(String request, String key, String digest) {
    Claim claim = new Claim(new IdempotencyKey(key), digest, true);
    return new EntryMessage.Offer(ticket(request, Optional.of(claim)));
  }
}
