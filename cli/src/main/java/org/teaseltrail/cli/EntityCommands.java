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

/** Declares the commands put, remove and list of one kind of entity. */
abstract class EntityCommands {

  static final String ID = "id";

  private final String entity;
  private final String idMetavar;

  /**
   * Makes the commands.
   *
   * @param entity what they are about, as the operator types it
   * @param idMetavar what names one, for the help
   */
  EntityCommands(String entity, String idMetavar) {
    this.entity = entity;
    this.idMetavar = idMetavar;
  }

  /**
   * Adds the commands.
   *
   * @param commands where to
   * @return the parsers of the entity's commands, for more of them
   */
  final Subparsers add(Subparsers commands) {
    Subparser group = commands.addParser(entity).help("put, remove and list: " + entity);
    Subparsers actions = group.addSubparsers().metavar("ACTION");
    ArgumentParser put = change(actions, "put", "create it, or replace it", this::put);
    addPutArguments(put);
    change(actions, "remove", "remove it", this::remove);
    Command list = (context, arguments) -> list(context);
    actions.addParser("list").help("list all").defaultHelp(true).setDefault(Command.KEY, list);
    addMore(actions);
    return actions;
  }

  /** Adds the arguments of put. */
  abstract void addPutArguments(ArgumentParser parser);

  /** Makes the item that puts the entity. */
  abstract Change put(Namespace arguments) throws ProgramException;

  /** Makes the item that removes the entity. */
  abstract Change remove(Namespace arguments) throws ProgramException;

  /** Prints all entities of the kind in a table. */
  abstract String table(Configuration configuration);

  /** Cuts the configuration down to the entities of the kind. */
  abstract Message only(Configuration configuration);

  /** Adds commands that only this kind has. */
  void addMore(Subparsers actions) {}

  /** Adds a command that sends one item. */
  final ArgumentParser change(Subparsers actions, String name, String help, ItemMaker maker) {
    Command command =
        (context, arguments) -> new ChangeSender(context, arguments).send(maker.make(arguments));
    Subparser parser = actions.addParser(name).help(help).defaultHelp(true);
    parser.addArgument(ID).metavar(idMetavar).help("which " + entity);
    ChangeArguments.add(parser);
    parser.setDefault(Command.KEY, command);
    return parser;
  }

  /** Returns the values of an argument that may be given several times. */
  static List<String> repeated(Namespace arguments, String name) {
    List<String> values = arguments.getList(name);
    return values == null ? List.of() : values;
  }

  private ExitCode list(CommandContext context) throws ProgramException {
    Configuration configuration = ConfigurationFetcher.fetch(context);
    context.show(
        only(configuration),
        () -> table(configuration) + "revision " + configuration.getRevision() + "\n");
    return ExitCode.OK;
  }

  /** Makes an item of a change from the command line. */
  interface ItemMaker {

    /** Makes the item. */
    Change make(Namespace arguments) throws ProgramException;
  }
}
