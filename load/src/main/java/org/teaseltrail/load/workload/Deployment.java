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
 * Is a deployment's size and workload.
 *
 * @param name its name
 * @param region its region
 * @param pool the pool of its engines
 * @param model the model they serve
 * @param version the model's version
 * @param service its plain service
 * @param entryVms how many entry VMs it has
 * @param networkMs one-way latency between its data centres
 * @param clientMs one-way latency to its clients
 * @param engines its engines
 * @param customers its customers
 * @param kinds what they send
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

  /** Copies the lists and checks that each kind has one tier. */
  public Deployment {
    engines = List.copyOf(engines);
    customers = List.copyOf(customers);
    kinds = List.copyOf(kinds);
    for (KindSpec kind : kinds) {
      checkOneTier(kind, customers);
    }
  }

  /** Returns a customer by its id. */
  public CustomerSpec customer(CustomerId id) {
    return find(customers, id);
  }

  /** Returns the tier of the customers that send a kind. */
  public Tier tierOf(KindSpec kind) {
    return customer(kind.customers().get(0).customer()).tier();
  }

  /** Returns the useful deadline of the most patient kind. */
  public long longestUsefulDeadlineMs() {
    return kinds.stream().mapToLong(KindSpec::usefulDeadlineMs).max().orElse(0);
  }

  /** Returns the tiers in use, highest first. */
  public List<Tier> tiers() {
    return customers.stream().map(CustomerSpec::tier).distinct().sorted().toList();
  }

  private static void checkOneTier(KindSpec kind, List<CustomerSpec> customers) {
    long tiers =
        kind.customers().stream().map(s -> find(customers, s.customer()).tier()).distinct().count();
    if (tiers != 1) {
      throw new InvalidWorkloadException(
          "kind " + kind.name() + " is sent by " + tiers + " tiers, not one");
    }
  }

  private static CustomerSpec find(List<CustomerSpec> customers, CustomerId id) {
    return customers.stream()
        .filter(c -> c.id().equals(id))
        .findFirst()
        .orElseThrow(() -> new NoSuchElementException("customer " + id));
  }
}
