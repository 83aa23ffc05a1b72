package org.teaseltrail.load.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.teaseltrail.load.policy.Experiment;
import org.teaseltrail.load.policy.Fault;
import org.teaseltrail.load.policy.GoodputChart;
import org.teaseltrail.load.policy.GroupResult;
import org.teaseltrail.load.policy.ResultCsv;
import org.teaseltrail.load.policy.ResultTable;
import org.teaseltrail.load.policy.Scenario;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.DeploymentReader;

/** Compares policies in virtual time; all policies run on the same seeds. */
final class PolicyCommand implements LoadCommand {

  private static final long NS_PER_SECOND = 1_000_000_000L;

  @Override
  public String name() {
    return "policy";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser.description("Compares policies in virtual time on paired seeds.");
    parser.addArgument("--deployment").choices("gopherfield", "cymru").setDefault("gopherfield");
    parser
        .addArgument("--load")
        .type(Double.class)
        .nargs("+")
        .setDefault(List.of(1.5))
        .help("factors on the load that fits");
    parser
        .addArgument("--fault")
        .type(Arguments.caseInsensitiveEnumType(Fault.class))
        .nargs("+")
        .setDefault(List.of(Fault.NONE))
        .help("what goes wrong");
    parser
        .addArgument("--policies")
        .type(Arguments.caseInsensitiveEnumType(PolicySet.class))
        .setDefault(PolicySet.BASELINES)
        .help("the scheduler against baselines, or with parts off, or alone");
    parser.addArgument("--seeds").type(Integer.class).setDefault(10).help("how many seeds");
    parser.addArgument("--first-seed").type(Long.class).setDefault(1L).help("the first seed");
    parser
        .addArgument("--warm-up-s")
        .type(Long.class)
        .setDefault(20L)
        .help("seconds before requests count");
    parser
        .addArgument("--measured-s")
        .type(Long.class)
        .setDefault(60L)
        .help("seconds in which requests count");
    parser.addArgument("--threads").type(Integer.class).setDefault(3).help("runs at once");
    parser.addArgument("--csv").metavar("FILE").help("a line for each run and tier");
    parser.addArgument("--plot").metavar("FILE").help("goodput by tier, as SVG");
  }

  @Override
  public boolean run(Namespace arguments, PrintStream out) throws IOException {
    PolicySet policies = arguments.get("policies");
    int threads = arguments.getInt("threads");
    Experiment experiment =
        new Experiment(
            policies.policies(),
            scenarios(arguments),
            arguments.getLong("first_seed"),
            arguments.getInt("seeds"));
    List<GroupResult> results = experiment.run(threads);
    new ResultTable(results).lines().forEach(out::println);
    if (arguments.getString("csv") != null) {
      new ResultCsv(results).write(Path.of(arguments.getString("csv")));
    }
    if (arguments.getString("plot") != null) {
      new GoodputChart(results).write(Path.of(arguments.getString("plot")));
    }
    return true;
  }

  private static List<Scenario> scenarios(Namespace arguments) {
    Deployment deployment = DeploymentReader.read(arguments.getString("deployment"));
    long warmUpNs = arguments.getLong("warm_up_s") * NS_PER_SECOND;
    long measuredNs = arguments.getLong("measured_s") * NS_PER_SECOND;
    List<Scenario> scenarios = new ArrayList<>();
    for (double load : arguments.<Double>getList("load")) {
      for (Fault fault : arguments.<Fault>getList("fault")) {
        scenarios.add(new Scenario(deployment, load, fault, warmUpNs, measuredNs));
      }
    }
    return scenarios;
  }
}
