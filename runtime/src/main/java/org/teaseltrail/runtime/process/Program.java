package org.teaseltrail.runtime.process;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.runtime.settings.Settings;
import org.teaseltrail.runtime.settings.SettingsSpec;

/** Daemon that {@link ProgramMain} configures and runs. */
public interface Program {

  /**
   * Returns the settings that the program declares.
   *
   * @return the specification, which also contains the program's name and summary
   */
  SettingsSpec spec();

  /**
   * Returns the name of this VM for the lines of the event log.
   *
   * @param settings the validated settings
   * @return the name; by default empty
   */
  default String vm(Settings settings) {
    return "";
  }

  /**
   * Adds program-specific arguments to the command line.
   *
   * @param parser the command line's parser
   */
  default void addArguments(ArgumentParser parser) {}

  /**
   * Starts the program. Returns once it accepts connections.
   *
   * @param settings the validated settings
   * @param arguments the parsed command line
   * @return the running program
   * @throws ProgramException if the program can't start
   */
  RunningProgram start(Settings settings, Namespace arguments) throws ProgramException;
}
