package org.teaseltrail.cli;

import com.google.protobuf.Message;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.teaseltrail.api.v1.Change;
import org.teaseltrail.api.v1.Configuration;
import org.teaseltrail.api.v1.SetDraining;
import org.teaseltrail.api.v1.Upstream;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Commands that allow, drain, remove and list upstreams. */
final class UpstreamCommands extends EntityCommands {

  UpstreamCommands() {
    super("upstream", "UPSTREAM");
  }

  @Override
  void addPutArguments(ArgumentParser parser) {
    parser.addArgument("--pool").required(true).metavar("POOL").help("the pool it serves");
    parser
        .addArgument("--secret-file")
        .metavar("FILE")
        .help("a file that holds the secret of its announcements");
    parser
        .addArgument("--secret-hash")
        .metavar("HEX")
        .help("SHA-256 of the secret, in place of the file");
    parser
        .addArgument("--draining")
        .action(Arguments.storeTrue())
        .help("allow it, but give it no work yet");
    parser
        .addArgument("--honours-fencing")
        .action(Arguments.storeTrue())
        .help("its engine refuses an order with an old fencing number");
  }

  @Override
  void addExtraCommands(Subparsers actions) {
    change(actions, "drain", "give it no new work; what runs goes on", a -> draining(a, true));
    change(actions, "undrain", "give it work again", arguments -> draining(arguments, false));
  }

  @Override
  Change put(Namespace arguments) throws ProgramException {
    Upstream upstream =
        Upstream.newBuilder()
            .setId(arguments.getString(ID))
            .setPool(arguments.getString("pool"))
            .setSecretHash(secretHash(arguments))
            .setDraining(arguments.getBoolean("draining"))
            .setHonoursFencing(arguments.getBoolean("honours_fencing"))
            .build();
    return Change.newBuilder().setPutUpstream(upstream).build();
  }

  @Override
  Change remove(Namespace arguments) {
    return Change.newBuilder().setRemoveUpstream(arguments.getString(ID)).build();
  }

  @Override
  Message selectEntities(Configuration configuration) {
    return Configuration.newBuilder()
        .setRevision(configuration.getRevision())
        .addAllUpstreams(configuration.getUpstreamsList())
        .build();
  }

  @Override
  String table(Configuration configuration) {
    TextTable table = new TextTable("UPSTREAM", "POOL", "DRAINING", "HONOURS FENCING");
    for (Upstream upstream : configuration.getUpstreamsList()) {
      table.addRow(
          upstream.getId(),
          upstream.getPool(),
          upstream.getDraining(),
          upstream.getHonoursFencing());
    }
    return table.print();
  }

  private static Change draining(Namespace arguments, boolean draining) {
    SetDraining item =
        SetDraining.newBuilder().setUpstream(arguments.getString(ID)).setDraining(draining).build();
    return Change.newBuilder().setSetDraining(item).build();
  }

  private static String secretHash(Namespace arguments) throws ProgramException {
    String file = arguments.getString("secret_file");
    String hash = arguments.getString("secret_hash");
    if ((file == null) == (hash == null)) {
      throw new ProgramException(ExitCode.USAGE, "give either --secret-file or --secret-hash");
    }
    return file == null ? hash : SecretHasher.hashFile(file);
  }
}
