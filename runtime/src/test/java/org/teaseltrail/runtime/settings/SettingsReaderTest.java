package org.teaseltrail.runtime.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsReaderTest {

  private static final Path INPUTS = Path.of("src/test/resources/settings");

  @TempDir private Path folder;

  private final SettingsReader reader = new SettingsReader(SampleSettings.SPEC);

  /**
   * A settings file has several mistakes. If only the first were reported, the operator would have
   * to restart the program once per mistake; so all are reported together, each with its line.
   */
  @Test
  void reportsAllProblemsAtOnce() throws IOException {
    Path file = INPUTS.resolve("wrong.ini");

    InvalidSettingsException failure = readInvalid(file);

    List<String> descriptions =
        failure.problems().stream()
            .map(SettingsProblem::describe)
            .map(line -> line.replace(INPUTS + "/", ""))
            .toList();
    assertThat(descriptions).isEqualTo(Files.readAllLines(INPUTS.resolve("wrong.expected")));
  }

  @Test
  void readsValuesAndDefaults() throws Exception {
    Path secret = Files.writeString(folder.resolve("secret"), "hush\n");
    Path file =
        write(
            "[listen]\naddress = [::1]:80\npeers = 127.0.0.1:1, 127.0.0.1:2\n"
                + "; comment\n[limits]\nbody=1.5MiB\nsecret = "
                + secret);

    Settings settings = reader.read(file);

    assertThat(settings.get(SampleSettings.ADDRESS).getPort()).isEqualTo(80);
    assertThat(settings.get(SampleSettings.PEERS)).hasSize(2);
    assertThat(settings.get(SampleSettings.MARGIN)).isEqualTo(Duration.ofNanos(1_500_000));
    assertThat(settings.get(SampleSettings.BODY)).isEqualTo(3L << 19);
    assertThat(settings.get(SampleSettings.SECRET)).contains(new Secret("hush"));
    assertThat(settings.get(SampleSettings.SECRET).toString()).doesNotContain("hush");
  }

  @Test
  void exampleFileIsValidAndShowsDefaults() throws Exception {
    Path file = write(ExampleFilePrinter.print(SampleSettings.SPEC));

    Settings settings = reader.read(file);

    assertThat(settings.get(SampleSettings.LIFETIME)).isEqualTo(Duration.ofSeconds(3));
    assertThat(settings.get(SampleSettings.SECRET)).isEmpty();
    assertThat(SettingsTablePrinter.print(SampleSettings.SPEC))
        .contains("| lease | `margin` | a duration (ms, s, m, h, d) from 1ms to 1s | `1.5ms` |");
  }

  @Test
  void reportsMalformedLineAndMissingFile() throws IOException {
    Path file = write("[listen]\naddress = 127.0.0.1:80\n[lease\n");

    assertThat(readInvalid(file).problems())
        .extracting(SettingsProblem::kind)
        .containsExactly(SettingsProblemKind.MALFORMED_LINE, SettingsProblemKind.MISSING);
    assertThat(readInvalid(folder.resolve("none")).problems())
        .extracting(SettingsProblem::kind)
        .containsExactly(SettingsProblemKind.FILE_UNREADABLE);
  }

  @Test
  void rejectsInvalidDeclarations() {
    assertThatIllegalArgumentException().isThrownBy(() -> ValueKinds.duration("1ms", "1minute"));
    assertThatIllegalArgumentException().isThrownBy(() -> ValueKinds.size("1KB", "1MiB"));
    assertThatIllegalArgumentException()
        .isThrownBy(() -> Setting.withDefault("a", "b", ValueKinds.integer(1, 5), "6", "Doc."));
  }

  private Path write(String text) throws IOException {
    return Files.writeString(folder.resolve("sample.ini"), text);
  }

  private InvalidSettingsException readInvalid(Path file) {
    return catchThrowableOfType(InvalidSettingsException.class, () -> reader.read(file));
  }

  /** Guards against a program that doesn't start with settings that leave out a blank default. */
  @Test
  void blankDefaultIsRefusedInDeclaration() {
    assertThatIllegalArgumentException()
        .isThrownBy(
            () ->
                Setting.withDefault(
                    "vm", "name", ValueKinds.text(String::valueOf, "a name"), "", "Name."));
  }
}
