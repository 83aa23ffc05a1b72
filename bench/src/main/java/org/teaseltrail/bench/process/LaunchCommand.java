package org.teaseltrail.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Command that starts one role. It is read from the deploy file, so that the measured command is
 * the one that a deployment runs.
 *
 * @param words the program and its arguments
 */
record LaunchCommand(List<String> words) {

  /**
   * Reads the command of a role.
   *
   * @param deployFile the deploy file
   * @param role the role's name
   * @throws IOException if the file has no such role
   */
  static LaunchCommand of(Path deployFile, String role) throws IOException {
    Pattern pattern =
        Pattern.compile(
            "\\[roles\\." + Pattern.quote(role) + "\\].*?^run = \"([^\"]+)\"",
            Pattern.DOTALL | Pattern.MULTILINE);
    Matcher matcher = pattern.matcher(Files.readString(deployFile));
    if (!matcher.find()) {
      throw new IOException(deployFile + " has no role " + role);
    }
    return new LaunchCommand(List.of(matcher.group(1).split(" ")));
  }

  /** Returns the command with additional JVM options, inserted directly after the program. */
  LaunchCommand withOptions(List<String> options) {
    List<String> all = new ArrayList<>(words);
    all.addAll(1, options);
    return new LaunchCommand(all);
  }

  /** Returns the command with additional arguments for the program. */
  LaunchCommand withArguments(String... arguments) {
    List<String> all = new ArrayList<>(words);
    all.addAll(List.of(arguments));
    return new LaunchCommand(all);
  }
}
