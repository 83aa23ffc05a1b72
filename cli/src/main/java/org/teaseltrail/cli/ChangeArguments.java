package org.teaseltrail.cli;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Command-line arguments shared by all commands that change the configuration. */
final class ChangeArguments {

  static final String CHANGE_ID = "change_id";
  static final String EXPECTED_REVISION = "expected_revision";
  static final String WAIT = "wait";

  private ChangeArguments() {}

  /**
   * Adds the arguments.
   *
   * @param parser the command's parser
   */
  static void add(ArgumentParser parser) {
    parser
        .addArgument("--change-id")
        .metavar("ID")
        .help("names the change; give it again to resend one whose answer was lost");
    parser
        .addArgument("--expected-revision")
        .type(Long.class)
        .metavar("N")
        .help("refuse the change unless the configuration is at this revision");
    parser
        .addArgument("--wait")
        .action(Arguments.storeTrue())
        .help("wait until the change is in force on every entry VM");
  }
}
