package org.teaseltrail.load.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.teaseltrail.load.http.PathOverheadBenchmark;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.DeploymentReader;

/**
 * Measures the overhead of the path through an entry VM, compared with direct calls of an engine.
 */
final class CompareCommand implements LoadCommand {

  @Override
  public String name() {
    return "compare";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser.description(
        "Sends the same requests to a stand-in directly and through an entry VM, in turn, and tells"
            + " the time that the path adds before the first token; then requests a second and the"
            + " cost of open streams.");
    parser.addArgument("--deployment").choices("gopherfield", "cymru").setDefault("gopherfield");
    parser.addArgument("--entry").required(true).metavar("URL").help("an entry VM");
    parser.addArgument("--standin").required(true).metavar("URL").help("an engine of its pool");
    parser.addArgument("--key-file").required(true).help("file with a customer's API key");
    parser.addArgument("--requests").type(Integer.class).setDefault(1_000).help("of each kind");
    parser
        .addArgument("--streams")
        .type(Integer.class)
        .nargs("*")
        .setDefault(List.of())
        .help("numbers of requests at once to measure the rate at");
  }

  @Override
  public boolean run(Namespace arguments, PrintStream out) throws IOException {
    Deployment deployment = DeploymentReader.read(arguments.getString("deployment"));
    String key = Files.readString(Path.of(arguments.getString("key_file"))).strip();
    String standinUrl = arguments.getString("standin");
    try (PathOverheadBenchmark comparison =
        new PathOverheadBenchmark(deployment, arguments.getString("entry"), standinUrl, key)) {
      comparison.measureLatency(arguments.getInt("requests")).forEach(out::println);
      for (int streams : arguments.<Integer>getList("streams")) {
        out.println(comparison.rate(streams));
      }
    }
    return true;
  }
}
