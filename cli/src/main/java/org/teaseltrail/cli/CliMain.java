package org.teaseltrail.cli;

import io.grpc.netty.NettyChannelBuilder;
import org.teaseltrail.runtime.process.ExitCode;

/** Entry point of the operators' command line. */
public final class CliMain {

  private CliMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    CommandLine commandLine =
        new CommandLine(
            System.out,
            System.err,
            address -> NettyChannelBuilder.forAddress(address).usePlaintext().build(),
            RetryClock.SYSTEM);
    ExitCode exitCode = commandLine.run(args);
    System.exit(exitCode.code());
  }
}
