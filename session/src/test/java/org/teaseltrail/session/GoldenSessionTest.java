package org.teaseltrail.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the message flow of complete sessions with golden files. The scenario is described at
 * the top of each script in src/test/resources/sessions.
 *
 * <p>After an intended change of the message flow, {@code -Dteaseltrail.golden.rewrite=true}
 * regenerates the golden files; review the difference before committing it.
 */
class GoldenSessionTest {

  private static final Path FOLDER = Path.of("src/test/resources/sessions");
  private static final boolean REWRITE = Boolean.getBoolean("teaseltrail.golden.rewrite");
  private static final int ENTRY_VMS = 2;
  private static final int ENGINES = 2;

  @ParameterizedTest(name = "{0}")
  @MethodSource("scripts")
  void messageFlowMatchesGoldenFile(String name) throws IOException {
    SimulatedCluster cluster = new SimulatedCluster(1, ENTRY_VMS, ENGINES, false);
    cluster.startAndConfigure();
    new SessionScript(cluster).run(Files.readAllLines(FOLDER.resolve(name + ".session")));
    Path golden = FOLDER.resolve(name + ".golden");
    if (REWRITE) {
      Files.writeString(golden, cluster.trace().text());
    }
    assertThat(cluster.trace().text()).isEqualTo(Files.readString(golden));
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
