package org.teaseltrail.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.teaseltrail.runtime.settings.ExampleFilePrinter;
import org.teaseltrail.runtime.settings.SettingsReader;
import org.teaseltrail.runtime.settings.SettingsSpec;
import org.teaseltrail.runtime.settings.SettingsTablePrinter;

/** Checks that the example file and the settings page match the program's declarations. */
class SettingsPagesTest {

  private static final Path EXAMPLE = Path.of("../conf/teaseltrail-control.ini");
  private static final Path PAGE = Path.of("../docs/SETTINGS.md");

  private final SettingsSpec spec = new ControlProgram().spec();

  @Test
  void exampleFileMatchesDeclarations() throws Exception {
    assertThat(EXAMPLE).hasContent(ExampleFilePrinter.print(spec));
    assertThat(new SettingsReader(spec).read(EXAMPLE)).isNotNull();
  }

  @Test
  void settingsPageMatchesDeclarations() throws IOException {
    assertThat(Files.readString(PAGE)).contains(SettingsTablePrinter.print(spec));
  }
}
