package org.teaseltrail.load.workload;

import java.util.List;
import java.util.NoSuchElementException;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.PoolId;
import org.teaseltrail.core.id.RegionId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.Tier;

/**
 * Topology and workload of a deployment.
 *
 * @param name its name
 * @param region its region
 * @param pool the pool of its engines
 * @param model the model that the engines serve
 * @param version the model's version
 * @param service its plain service
 * @param entryVms number of entry VMs
 * @param networkMs one-way latency between its data centres
 * @param clientMs one-way latency between callers and entry VMs
 * @param engines its engines
 * @param customers its customers
 * @param kinds the kinds of requests that the customers send
 */
public record Deployment(
    String name,
    RegionId region,
    PoolId pool,
    ModelId model,
    ModelVersion version,
    ServiceId service,
    int entryVms,
    double networkMs,
    double clientMs,
    List<EngineSpec> engines,
    List<CustomerSpec> customers,
    List<KindSpec> kinds) {

  /**
   * Creates the deployment with copies of the lists.
   *
   * @throws InvalidWorkloadException if a kind isn't sent by customers of exactly one tier
   */
  public Deployment {
    engines = List.copyOf(engines);
    customers = List.copyOf(customers);
    kinds = List.copyOf(kinds);
    for (KindSpec kind : kinds) {
      checkOneTier(kind, customers);
    }
  }

  /** Returns the customer with the given id. */
  public CustomerSpec customer(CustomerId id) {
    return find(customers, id);
  }

  /** Returns the tier of the customers that send the given kind. */
  public Tier tierOf(KindSpec kind) {
    return customer(kind.customers().get(0).customer()).tier();
  }

  /** Returns the longest useful deadline of all kinds. */
  public long longestUsefulDeadlineMs() {
    return kinds.stream().mapToLong(KindSpec::usefulDeadlineMs).max().orElse(0);
  }

  /** Returns the tiers of all customers, highest first. */
  public List<Tier> tiers() {
    return customers.stream().map(CustomerSpec::tier).distinct().sorted().toList();
  }

  private static void checkOneTier(KindSpec kind, List<CustomerSpec> customers) {
    long tiers =
        kind.customers().stream().map(s -> find(customers, s.customer()).tier()).distinct().count();
    if (tiers != 1) {
      throw new InvalidWorkloadException(
          "kind "
              + kind.name()
              + " must be sent by customers of exactly one tier, not by "
              + tiers
              + " tiers");
    }
  }

  private static CustomerSpec find(List<CustomerSpec> customers, CustomerId id) {
    return customers.stream()
        .filter(c -> c.id().equals(id))
        .findFirst()
        .orElseThrow(() -> new NoSuchElementException("unknown customer " + id));
  }
}
