package org.teaseltrail.runtime.process;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.runtime.settings.Settings;
import org.teaseltrail.runtime.settings.SettingsSpec;

/** Is a daemon with settings, to be run by {@link ProgramMain}. */
public interface Program {

  /**
   * Returns the settings it takes.
   *
   * @return the list, which also holds the program's name and summary
   */
  SettingsSpec spec();

  /**
   * Adds arguments of its own to the command line.
   *
   * @param parser the command line's parser
   */
  default void addArguments(ArgumentParser parser) {}

  /**
   * Starts it. Returns once it listens.
   *
   * @param settings the checked settings
   * @param arguments the command line
   * @return the running program
   * @throws ProgramException if it can't start
   */
  RunningProgram start(Settings settings, Namespace arguments) throws ProgramException;
}
