package org.teaseltrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.runtime.process.ExitCode;

/** Checks that docs/COMMANDS.md lists all commands, options and exit codes. */
class CommandsPageTest {

  private static final Path PAGE = Path.of("../docs/COMMANDS.md");
  private static final Pattern OPTION = Pattern.compile("--[a-z][a-z-]+");

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "tier put",
        "tier remove",
        "tier list",
        "customer put",
        "customer remove",
        "customer list",
        "pool put",
        "pool remove",
        "pool list",
        "route put",
        "route remove",
        "route list",
        "upstream put",
        "upstream remove",
        "upstream list",
        "upstream drain",
        "upstream undrain",
        "apply",
        "status",
        "pools",
        "decisions",
        "explain",
        "members list",
        "members add",
        "members promote",
        "members remove",
        "members transfer",
        "order"
      })
  void namesEachCommandAndOption(String command) throws IOException {
    String page = Files.readString(PAGE);

    assertThat(page).contains(command);
    assertThat(OPTION.matcher(help(command)).results().map(match -> match.group()))
        .allSatisfy(option -> assertThat(page).contains(option));
  }

  @Test
  void namesEachExitCode() throws IOException {
    String page = Files.readString(PAGE);

    assertThat(ExitCode.values())
        .allSatisfy(
            exitCode ->
                assertThat(page).contains("| " + exitCode.code() + " | " + exitCode.name() + " |"));
  }

  private static String help(String command) {
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    PrintStream originalOut = System.out;
    System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
    try {
      CommandLine commandLine = new CommandLine(System.out, System.out, null, RetryClock.SYSTEM);
      assertThat(commandLine.run((command + " --help").trim().split(" "))).isEqualTo(ExitCode.OK);
    } finally {
      System.setOut(originalOut);
    }
    return printed.toString(StandardCharsets.UTF_8);
  }
}
