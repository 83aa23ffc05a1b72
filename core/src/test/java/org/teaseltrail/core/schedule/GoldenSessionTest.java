package org.teaseltrail.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares session transcripts with their golden files. Run with {@code -Dgolden.write=true} to
 * regenerate the files, and review the difference before committing it.
 */
class GoldenSessionTest {

  private static final Path FOLDER =
      Path.of("src", "test", "resources", "org", "teaseltrail", "core", "schedule");

  @ParameterizedTest
  @ValueSource(
      strings = {
        "overload-three-tiers",
        "straggler",
        "leaving-upstream",
        "takeover",
        "deadlines",
        "late-messages",
        "lapsed-vm",
        "customer-limits",
        "prefix-cache"
      })
  void sessionGoesAsTheGoldenFileTells(String name) throws IOException {
    String transcript =
        new GoldenSession().run(Files.readAllLines(FOLDER.resolve(name + ".script")));
    Path golden = FOLDER.resolve(name + ".golden");
    if (Boolean.getBoolean("golden.write")) {
      Files.writeString(golden, transcript, StandardCharsets.UTF_8);
    }
    assertThat(transcript).isEqualTo(Files.readString(golden, StandardCharsets.UTF_8));
  }
}
