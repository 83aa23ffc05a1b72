package org.teaseltrail.cli;

import com.google.protobuf.Message;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.api.v1.Change;
import org.teaseltrail.api.v1.Configuration;
import org.teaseltrail.api.v1.Pool;

/** Commands that create, replace, remove and list pools. */
final class PoolCommands extends EntityCommands {

  private static final long DEFAULT_MAX_WAITING_MS = 30_000;

  PoolCommands() {
    super("pool", "POOL");
  }

  @Override
  void addPutArguments(ArgumentParser parser) {
    parser
        .addArgument("--max-waiting-ms")
        .type(Long.class)
        .setDefault(DEFAULT_MAX_WAITING_MS)
        .metavar("N")
        .help("work that may wait, in milliseconds of the pool's time, before shedding starts");
    parser
        .addArgument("--target-copies")
        .type(Integer.class)
        .setDefault(0)
        .metavar("N")
        .help("upstreams that are to hold the pool's model; 0 leaves placement alone");
  }

  @Override
  Change put(Namespace arguments) {
    Pool pool =
        Pool.newBuilder()
            .setId(arguments.getString(ID))
            .setMaxWaitingMs(arguments.getLong("max_waiting_ms"))
            .setTargetCopies(arguments.getInt("target_copies"))
            .build();
    return Change.newBuilder().setPutPool(pool).build();
  }

  @Override
  Change remove(Namespace arguments) {
    return Change.newBuilder().setRemovePool(arguments.getString(ID)).build();
  }

  @Override
  Message selectEntities(Configuration configuration) {
    return Configuration.newBuilder()
        .setRevision(configuration.getRevision())
        .addAllPools(configuration.getPoolsList())
        .build();
  }

  @Override
  String table(Configuration configuration) {
    TextTable table = new TextTable("POOL", "MAX WAITING MS", "TARGET COPIES");
    for (Pool pool : configuration.getPoolsList()) {
      table.addRow(pool.getId(), pool.getMaxWaitingMs(), pool.getTargetCopies());
    }
    return table.print();
  }
}
