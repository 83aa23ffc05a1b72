package org.teaseltrail.load.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.load.http.HttpLoadRun;
import org.teaseltrail.load.workload.CustomerSpec;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.DeploymentReader;

/**
 * Runs an open-loop load test of a deployment against real entry VMs and validates each response.
 */
final class RunCommand implements LoadCommand {

  private static final double NS_PER_SECOND = 1e9;

  @Override
  public String name() {
    return "run";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser.description("Sends a workload to real entry VMs, open-loop, and checks each answer.");
    parser.addArgument("--deployment").choices("gopherfield", "cymru").setDefault("gopherfield");
    parser
        .addArgument("--entry")
        .nargs("+")
        .required(true)
        .metavar("URL")
        .help("base URLs of the entry VMs");
    parser
        .addArgument("--keys")
        .required(true)
        .metavar("FOLDER")
        .help("folder with a file key-CUSTOMER for each customer, which holds its API key");
    parser
        .addArgument("--standin")
        .nargs("*")
        .setDefault(List.of())
        .metavar("URL")
        .help("base URLs of all stand-ins, to check what ran there");
    parser.addArgument("--load").type(Double.class).setDefault(1.0).help("factor on what fits");
    parser.addArgument("--duration-s").type(Double.class).setDefault(30.0).help("sending time");
    parser
        .addArgument("--max-requests")
        .type(Integer.class)
        .setDefault(50_000)
        .help("bound on the number of requests");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the plan");
    parser.addArgument("--csv").metavar("FILE").help("a line for each request");
  }

  @Override
  public boolean run(Namespace arguments, PrintStream out) throws IOException {
    Deployment deployment = DeploymentReader.read(arguments.getString("deployment"));
    HttpLoadRun measurement =
        new HttpLoadRun(
            deployment,
            arguments.getDouble("load"),
            (long) (arguments.getDouble("duration_s") * NS_PER_SECOND),
            arguments.getInt("max_requests"),
            arguments.getLong("seed"),
            arguments.getList("entry"),
            readKeys(deployment, Path.of(arguments.getString("keys"))),
            arguments.getList("standin"),
            Optional.ofNullable(arguments.getString("csv")).map(Path::of));
    return measurement.run(out);
  }

  private static Map<CustomerId, String> readKeys(Deployment deployment, Path folder)
      throws IOException {
    Map<CustomerId, String> keys = new HashMap<>();
    for (CustomerSpec customer : deployment.customers()) {
      Path file = folder.resolve("key-" + customer.id());
      keys.put(customer.id(), Files.readString(file).strip());
    }
    return keys;
  }
}
