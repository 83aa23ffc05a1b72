package org.teaseltrail.load.http;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.PlannedRequest;
import org.teaseltrail.load.workload.WorkloadPlanner;

/**
 * Open-loop load test against real entry VMs: plans the requests, sends them and prints a report.
 *
 * @param deployment the deployment that defines the workload
 * @param load the offered load as a factor of the pool's capacity
 * @param durationNs how long requests are sent
 * @param maxRequests maximum number of requests
 * @param seed seed of the workload plan
 * @param entryUrls base URLs of the entry VMs
 * @param apiKeys an API key for each customer
 * @param standinUrls base URLs of the stand-ins (simulated upstreams), whose execution counters are
 *     checked; may be empty
 * @param csv optional file for the results, one line for each request
 */
public record HttpLoadRun(
    Deployment deployment,
    double load,
    long durationNs,
    int maxRequests,
    long seed,
    List<String> entryUrls,
    Map<CustomerId, String> apiKeys,
    List<String> standinUrls,
    Optional<Path> csv) {

  /**
   * Runs the load test.
   *
   * @param out receives the report
   * @return whether no response had a fault
   * @throws IOException if the CSV file can't be written
   */
  public boolean run(PrintStream out) throws IOException {
    List<PlannedRequest> plan =
        new WorkloadPlanner(deployment, load, List.of())
            .planAll(durationNs, seed).stream().limit(maxRequests).toList();
    List<CallResult> results;
    try (EntryClient client =
        new EntryClient(deployment, entryUrls, apiKeys, System.currentTimeMillis())) {
      results = new OpenLoopSender(client, plan).run();
    }
    if (!standinUrls.isEmpty()) {
      StandinCounters counters = StandinCounters.read(standinUrls);
      results = new ExecutionValidator(counters).check(results);
      out.println(counters.summary());
    }
    HttpReport report = new HttpReport(results);
    report.lines().forEach(out::println);
    if (csv.isPresent()) {
      new ResultsCsv(results).write(csv.get());
    }
    return report.faults().isEmpty();
  }
}
