package org.teaseltrail.control;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.Program;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.RunningProgram;
import org.teaseltrail.runtime.settings.Settings;
import org.teaseltrail.runtime.settings.SettingsSpec;
import org.teaseltrail.storage.FolderMissingException;
import org.teaseltrail.storage.ReplicaStorage;
import org.teaseltrail.storage.StorageException;

/** The control member's daemon as a program: settings, command-line options and startup. */
public final class ControlProgram implements Program {

  private static final String NEW_GROUP = "new_group";
  private static final String JOIN = "join";

  @Override
  public SettingsSpec spec() {
    return ControlProgramSettings.SPEC;
  }

  @Override
  public void addArguments(ArgumentParser parser) {
    var startOptions = parser.addMutuallyExclusiveGroup();
    startOptions
        .addArgument("--new-group")
        .action(Arguments.storeTrue())
        .help("begin a new group with this member alone, in a folder that holds no member yet");
    startOptions
        .addArgument("--join")
        .action(Arguments.storeTrue())
        .help(
            "make a new member in a folder that holds none yet; it serves once operators have"
                + " added it to its group");
  }

  @Override
  public RunningProgram start(Settings settings, Namespace arguments) throws ProgramException {
    ControlOptions options = ControlOptions.of(settings);
    return start(
        options, StartMode.of(arguments.getBoolean(NEW_GROUP), arguments.getBoolean(JOIN)), 0);
  }

  static ControlDaemon start(ControlOptions options, StartMode mode, long knownDowntimeMs)
      throws ProgramException {
    return ControlDaemon.start(options, open(options, mode), knownDowntimeMs);
  }

  private static ReplicaStorage open(ControlOptions options, StartMode mode)
      throws ProgramException {
    try {
      return MemberFolderOpener.open(options, mode);
    } catch (FolderMissingException e) {
      String hint = "; begin a group with --new-group or make a new member with --join";
      throw new ProgramException(ExitCode.DATA, e.getMessage() + hint, e);
    } catch (StorageException e) {
      throw new ProgramException(ExitCode.DATA, e.getMessage(), e);
    }
  }
}
