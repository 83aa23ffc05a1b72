package org.teaseltrail.entry;

import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.runtime.process.Program;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.RunningProgram;
import org.teaseltrail.runtime.settings.Settings;
import org.teaseltrail.runtime.settings.SettingsSpec;

/** The program of an entry VM's daemon. */
public final class EntryProgram implements Program {

  @Override
  public SettingsSpec spec() {
    return EntryProgramSettings.SPEC;
  }

  @Override
  public RunningProgram start(Settings settings, Namespace arguments) throws ProgramException {
    return EntryDaemon.start(EntryOptions.of(settings));
  }
}
