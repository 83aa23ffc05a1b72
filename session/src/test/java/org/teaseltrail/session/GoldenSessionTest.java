package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the message flow of whole sessions with golden files. Each story stands at the top of
 * its script in src/test/resources/sessions.
 *
 * <p>After a change that is meant to change the flow, {@code -Dteaseltrail.golden.rewrite=true}
 * writes the files anew; read the difference before it is committed.
 */
class GoldenSessionTest {

  private static final Path FOLDER = Path.of("src/test/resources/sessions");
  private static final boolean REWRITE = Boolean.getBoolean("teaseltrail.golden.rewrite");
  private static final int ENTRY_VMS = 2;
  private static final int ENGINES = 2;

  @ParameterizedTest(name = "{0}")
  @MethodSource("scripts")
  void flowIsAsBefore(String name) throws IOException {
    SessionWorld world = new SessionWorld(1, ENTRY_VMS, ENGINES, false);
    world.begin();
    new SessionScript(world).run(Files.readAllLines(FOLDER.resolve(name + ".session")));
    Path golden = FOLDER.resolve(name + ".golden");
    if (REWRITE) {
      Files.writeString(golden, world.trace().text());
    }
    assertThat(world.trace().text()).isEqualTo(Files.readString(golden));
  }

  static Stream<String> scripts() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(file -> file.endsWith(".session"))
          .map(file -> file.substring(0, file.length() - ".session".length()))
          .sorted()
          .toList()
          .stream();
    }
  }
}
