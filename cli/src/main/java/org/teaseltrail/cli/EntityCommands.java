package org.teaseltrail.cli;

import com.google.protobuf.Message;
import java.util.List;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.teaseltrail.api.v1.Change;
import org.teaseltrail.api.v1.Configuration;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Base class of the put, remove and list commands for one kind of entity. */
abstract class EntityCommands {

  static final String ID = "id";

  private final String entity;
  private final String idMetavar;

  /**
   * Creates the commands.
   *
   * @param entity the kind of entity, as typed on the command line
   * @param idMetavar the placeholder of the entity's id in the help
   */
  EntityCommands(String entity, String idMetavar) {
    this.entity = entity;
    this.idMetavar = idMetavar;
  }

  /**
   * Adds the commands to the command line.
   *
   * @param commands the parsers to which the commands are added
   * @return the parsers of the entity's commands
   */
  final Subparsers add(Subparsers commands) {
    Subparser group = commands.addParser(entity).help("put, remove and list: " + entity);
    Subparsers actions = group.addSubparsers().metavar("ACTION");
    ArgumentParser put = change(actions, "put", "create it, or replace it", this::put);
    addPutArguments(put);
    change(actions, "remove", "remove it", this::remove);
    Command list = (context, arguments) -> list(context);
    actions.addParser("list").help("list all").defaultHelp(true).setDefault(Command.KEY, list);
    addExtraCommands(actions);
    return actions;
  }

  /** Adds the arguments of the put command. */
  abstract void addPutArguments(ArgumentParser parser);

  /** Creates the change that creates or replaces the entity. */
  abstract Change put(Namespace arguments) throws ProgramException;

  /** Creates the change that removes the entity. */
  abstract Change remove(Namespace arguments) throws ProgramException;

  /** Formats all entities of this kind as a table. */
  abstract String table(Configuration configuration);

  /** Returns the configuration reduced to the entities of this kind. */
  abstract Message selectEntities(Configuration configuration);

  /** Adds commands that only this kind of entity has. */
  void addExtraCommands(Subparsers actions) {}

  /** Adds a command that sends a single change. */
  final ArgumentParser change(Subparsers actions, String name, String help, ChangeFactory maker) {
    Command command =
        (context, arguments) -> new ChangeSender(context, arguments).send(maker.create(arguments));
    Subparser parser = actions.addParser(name).help(help).defaultHelp(true);
    parser.addArgument(ID).metavar(idMetavar).help("which " + entity);
    ChangeArguments.add(parser);
    parser.setDefault(Command.KEY, command);
    return parser;
  }

  /** Returns the values of a repeatable argument. */
  static List<String> repeatedValues(Namespace arguments, String name) {
    List<String> values = arguments.getList(name);
    return values == null ? List.of() : values;
  }

  private ExitCode list(CommandContext context) throws ProgramException {
    Configuration configuration = ConfigurationFetcher.fetch(context);
    context.print(
        selectEntities(configuration),
        () -> table(configuration) + "revision " + configuration.getRevision() + "\n");
    return ExitCode.OK;
  }

  /** Creates a change from the command-line arguments. */
  interface ChangeFactory {

    /** Creates the change. */
    Change create(Namespace arguments) throws ProgramException;
  }
}
