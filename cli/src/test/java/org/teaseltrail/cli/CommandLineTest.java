package org.teaseltrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.inprocess.InProcessChannelBuilder;
import io.grpc.inprocess.InProcessServerBuilder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.api.v1.Accepted;
import org.teaseltrail.api.v1.ApplyChangeResponse;
import org.teaseltrail.api.v1.GetStatusResponse;
import org.teaseltrail.api.v1.NotLeader;
import org.teaseltrail.api.v1.OutcomeUnknown;
import org.teaseltrail.runtime.process.ExitCode;

class CommandLineTest {

  private static final Path SESSIONS = Path.of("src/test/resources/sessions");
  private static final Path ACTUAL = Path.of("target/sessions");
  private static final String FIRST = "127.0.0.1:1";
  private static final String SECOND = "127.0.0.1:2";
  private static final long NS_PER_MS = 1_000_000;

  private final List<Server> servers = new ArrayList<>();
  private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
  private FakeOperatorService first;
  private FakeOperatorService second;

  @BeforeEach
  void startMembers() throws IOException {
    first = start(FIRST);
    second = start(SECOND);
  }

  @AfterEach
  void stopMembers() {
    servers.forEach(Server::shutdownNow);
  }

  /**
   * Each session file contains commands ("$ "), the responses of the member ("< "), the requests
   * that the member received ("> ") and the output of the command line with its exit code.
   */
  @ParameterizedTest
  @ValueSource(strings = {"changes", "failures", "status", "members", "json", "usage"})
  void matchesGoldenSession(String name) throws IOException {
    Path file = SESSIONS.resolve(name + ".golden");
    List<String> lines = Files.readAllLines(file);
    StringBuilder transcript = new StringBuilder();

    for (int at = 0; at < lines.size(); at++) {
      String line = lines.get(at);
      if (line.startsWith("< ")) {
        first.enqueueAnswer(GoldenAnswerParser.parse(line.substring(2)));
        transcript.append(line).append('\n');
      } else if (line.startsWith("$ ")) {
        transcript.append(line).append('\n').append(runRecorded(line.substring(2)));
      }
    }

    Path actual = Files.createDirectories(ACTUAL).resolve(name + ".golden");
    Files.writeString(actual, transcript);
    assertThat(actual).hasSameTextualContentAs(file);
  }

  /**
   * The command line contacts a member that has just lost its leadership and names the new leader.
   * The command line must follow the response to the leader and send the change there with the same
   * id.
   */
  @Test
  void followsNotLeaderToTheLeader() {
    first.enqueueAnswer(notLeader(SECOND));
    second.enqueueAnswer(accepted());

    assertThat(run("--server " + FIRST + " tier put 1 --name gold")).isEqualTo(ExitCode.OK);

    assertThat(second.requests()).isEqualTo(first.requests());
  }

  /**
   * A leader loses its lease while a change waits for a quorum, so the outcome is unknown. The
   * change may have been accepted; the retry carries the same id and so returns the first result.
   */
  @Test
  void retriesWithTheSameChangeId() {
    first.enqueueAnswer(
        ApplyChangeResponse.newBuilder()
            .setOutcomeUnknown(OutcomeUnknown.getDefaultInstance())
            .build());
    first.enqueueAnswer(accepted());

    assertThat(run("--server " + FIRST + " tier remove 1")).isEqualTo(ExitCode.OK);

    assertThat(first.requests()).hasSize(2);
    assertThat(first.requests().get(1)).isEqualTo(first.requests().get(0));
  }

  @Test
  void triesTheNextMemberWhenOneIsUnavailable() {
    first.failWith(Status.UNAVAILABLE);
    second.enqueueAnswer(GetStatusResponse.getDefaultInstance());

    assertThat(run("--server " + FIRST + "," + SECOND + " status")).isEqualTo(ExitCode.OK);
  }

  @Test
  void exitsUnavailableWhenNoMemberAnswers() {
    first.failWith(Status.UNAVAILABLE);

    assertThat(run("--server " + FIRST + " status")).isEqualTo(ExitCode.UNAVAILABLE);
    assertThat(first.requests()).hasSize(100);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "customer", "customer put", "members", "order", "apply", "status"})
  void hasHelpOnEachLevel(String command) {
    assertThat(run((command + " --help").trim())).isEqualTo(ExitCode.OK);
  }

  private String runRecorded(String command) {
    printed.reset();
    int before = first.requests().size();
    ExitCode exitCode = run("--server " + FIRST + " " + command);
    StringBuilder text = new StringBuilder();
    for (Message request : first.requests().subList(before, first.requests().size())) {
      text.append("> ").append(request.getDescriptorForType().getName()).append(' ');
      String fields = TextFormat.printer().printToString(request);
      text.append(fields.replaceAll("\\s+", " ").trim());
      text.append('\n');
    }
    text.append(printed.toString(StandardCharsets.UTF_8).replaceAll("(?m)^usage: .*\\R", ""));
    return text.append("exit ").append(exitCode).append('\n').toString();
  }

  private ExitCode run(String command) {
    PrintStream stream = new PrintStream(printed, true, StandardCharsets.UTF_8);
    ChannelFactory channels = address -> channel("127.0.0.1:" + address.getPort());
    return new CommandLine(stream, stream, channels, new VirtualClock()).run(command.split(" "));
  }

  private FakeOperatorService start(String address) throws IOException {
    FakeOperatorService operator = new FakeOperatorService();
    servers.add(
        InProcessServerBuilder.forName(address)
            .directExecutor()
            .addService(operator)
            .build()
            .start());
    return operator;
  }

  private static ManagedChannel channel(String name) {
    return InProcessChannelBuilder.forName(name).directExecutor().build();
  }

  private static ApplyChangeResponse notLeader(String leaderAddress) {
    NotLeader notLeader =
        NotLeader.newBuilder().setMember("m1").setLeaderAddress(leaderAddress).build();
    return ApplyChangeResponse.newBuilder().setNotLeader(notLeader).build();
  }

  private static ApplyChangeResponse accepted() {
    Accepted accepted = Accepted.newBuilder().setRevision(1).build();
    return ApplyChangeResponse.newBuilder().setAccepted(accepted).build();
  }

  private static final class VirtualClock implements RetryClock {

    private long nowNs;

    @Override
    public long nowNs() {
      return nowNs;
    }

    @Override
    public void sleepMs(long durationMs) {
      nowNs += durationMs * NS_PER_MS;
    }
  }
}
