package org.teaseltrail.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.teaseltrail.runtime.settings.ExampleFilePrinter;
import org.teaseltrail.runtime.settings.SettingsSpec;
import org.teaseltrail.runtime.settings.SettingsTablePrinter;

/** Checks that the example file and the settings page match the program's declarations. */
class SettingsPagesTest {

  private static final Path EXAMPLE = Path.of("../conf/teaseltrail-standin.ini");
  private static final Path PAGE = Path.of("../docs/SETTINGS.md");

  private final SettingsSpec spec = new StandinProgram().spec();

  @Test
  void exampleFileShowsTheDeclarations() throws IOException {
    assertThat(EXAMPLE).hasContent(ExampleFilePrinter.print(spec));
  }

  @Test
  void pageShowsTheDeclarations() throws IOException {
    assertThat(Files.readString(PAGE)).contains(SettingsTablePrinter.print(spec));
  }
}
