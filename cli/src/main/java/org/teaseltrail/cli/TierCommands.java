package org.teaseltrail.cli;

import com.google.protobuf.Message;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.api.v1.Change;
import org.teaseltrail.api.v1.Configuration;
import org.teaseltrail.api.v1.Tier;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Commands that create, replace, remove and list tiers. */
final class TierCommands extends EntityCommands {

  TierCommands() {
    super("tier", "RANK");
  }

  @Override
  void addPutArguments(ArgumentParser parser) {
    parser.addArgument("--name").required(true).help("the name operators and bills use");
  }

  @Override
  Change put(Namespace arguments) throws ProgramException {
    Tier tier =
        Tier.newBuilder().setRank(rank(arguments)).setName(arguments.getString("name")).build();
    return Change.newBuilder().setPutTier(tier).build();
  }

  @Override
  Change remove(Namespace arguments) throws ProgramException {
    return Change.newBuilder().setRemoveTier(rank(arguments)).build();
  }

  @Override
  Message selectEntities(Configuration configuration) {
    return Configuration.newBuilder()
        .setRevision(configuration.getRevision())
        .addAllTiers(configuration.getTiersList())
        .build();
  }

  @Override
  String table(Configuration configuration) {
    TextTable table = new TextTable("RANK", "NAME");
    configuration.getTiersList().forEach(tier -> table.addRow(tier.getRank(), tier.getName()));
    return table.print();
  }

  private static int rank(Namespace arguments) throws ProgramException {
    String text = arguments.getString(ID);
    try {
      return Integer.parseUnsignedInt(text);
    } catch (NumberFormatException e) {
      throw new ProgramException(ExitCode.USAGE, "RANK is a number, not '" + text + "'", e);
    }
  }
}
