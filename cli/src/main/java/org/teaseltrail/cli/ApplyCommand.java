package org.teaseltrail.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.teaseltrail.api.v1.ApplyChangeRequest;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

/** Applies the changes in a file atomically: all of them at one revision, or none. */
final class ApplyCommand implements Command {

  private ApplyCommand() {}

  static void add(Subparsers commands) {
    Subparser parser =
        commands
            .addParser("apply")
            .help("apply a JSON file of changes, all or none")
            .defaultHelp(true)
            .description(
                "The file holds an ApplyChangeRequest of the schema as JSON, such as"
                    + " {\"changes\": [{\"put_tier\": {\"rank\": 1, \"name\": \"gold\"}}]}.");
    parser.addArgument("file").metavar("FILE").help("the file");
    ChangeArguments.add(parser);
    parser.setDefault(Command.KEY, new ApplyCommand());
  }

  @Override
  public ExitCode run(CommandContext context, Namespace arguments) throws ProgramException {
    ApplyChangeRequest.Builder change = read(arguments.getString("file"));
    return new ChangeSender(context, arguments).send(change);
  }

  private static ApplyChangeRequest.Builder read(String file) throws ProgramException {
    ApplyChangeRequest.Builder change = ApplyChangeRequest.newBuilder();
    try {
      JsonFormat.parser().merge(Files.readString(Path.of(file)), change);
    } catch (InvalidProtocolBufferException e) {
      throw new ProgramException(ExitCode.USAGE, file + ": " + e.getMessage(), e);
    } catch (IOException e) {
      throw new ProgramException(ExitCode.USAGE, "can't read " + e.getMessage(), e);
    }
    return change;
  }
}
