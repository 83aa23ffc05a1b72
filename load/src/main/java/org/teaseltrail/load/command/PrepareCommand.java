package org.teaseltrail.load.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.teaseltrail.load.prepare.DeploymentFolderWriter;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.DeploymentReader;

/**
 * Writes the settings of a deployment on the loopback interface, which {@code bin/deployment}
 * starts.
 */
final class PrepareCommand implements LoadCommand {

  @Override
  public String name() {
    return "prepare";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser.description("Writes the settings of a deployment on loopback, for bin/deployment.");
    parser.addArgument("--deployment").choices("gopherfield", "cymru").setDefault("gopherfield");
    parser.addArgument("--folder").required(true).help("where to write");
    parser
        .addArgument("--base-port")
        .type(Integer.class)
        .setDefault(21_000)
        .help("first of a hundred loopback ports");
    parser.addArgument("--members").type(Integer.class).setDefault(1).help("control members");
    parser.addArgument("--entries").type(Integer.class).setDefault(2).help("entry VMs");
    parser
        .addArgument("--services")
        .type(Integer.class)
        .setDefault(1)
        .help("processes of the plain service");
  }

  @Override
  public boolean run(Namespace arguments, PrintStream out) throws IOException {
    Deployment deployment = DeploymentReader.read(arguments.getString("deployment"));
    new DeploymentFolderWriter(
            deployment,
            Path.of(arguments.getString("folder")),
            arguments.getInt("base_port"),
            arguments.getInt("members"),
            arguments.getInt("entries"),
            arguments.getInt("services"))
        .write();
    return true;
  }
}
