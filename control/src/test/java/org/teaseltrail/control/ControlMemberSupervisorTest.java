package org.teaseltrail.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.teaseltrail.runtime.log.EventLog;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;

@Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ControlMemberSupervisorTest {

  /** What a start of a member does. */
  private interface Start {
    SupervisedMember run() throws ProgramException;
  }

  private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
  private final EventLog log = new EventLog(lines, "teaseltrail-control", "vm");
  private final BlockingQueue<Start> starts = new LinkedBlockingQueue<>();
  private final Semaphore attempts = new Semaphore(0);

  @AfterEach
  void closeLog() {
    log.close();
  }

  /** Guards against a process without a member after a port closed slowly in a disk failure. */
  @Test
  void memberIsRestartedAfterOneThatFailedToClose() throws Exception {
    FakeMember failed = new FakeMember().failsToClose(new IllegalStateException("3 s are over"));
    FakeMember next = new FakeMember();
    final ControlMemberSupervisor supervisor = start(failed);
    starts.add(() -> next);

    failed.ends(ExitCode.DATA);
    failed.closed().join();
    next.ends(ExitCode.LISTEN);

    assertThat(supervisor.terminationFuture().join()).isEqualTo(ExitCode.LISTEN);
    assertThat(writtenLines()).contains("\"event\":\"member_restarted\"", "IllegalStateException");
  }

  /** Guards against a process that runs on without a member after an error of its restart. */
  @Test
  void processEndsWhenMemberCannotBeRestarted() throws Exception {
    FakeMember failed = new FakeMember();
    final ControlMemberSupervisor supervisor = start(failed);
    starts.add(
        () -> {
          throw new IllegalArgumentException("undecodable");
        });

    failed.ends(ExitCode.DATA);

    assertThat(supervisor.terminationFuture().join()).isEqualTo(ExitCode.INTERNAL);
    assertThat(writtenLines())
        .contains("\"event\":\"process_failed\",\"thread\":\"member\"")
        .contains("java.lang.IllegalArgumentException at")
        .contains("\"exit_code\":1");
  }

  /** Guards against a disk failure of some seconds that ends a process or is never mentioned. */
  @Test
  void startIsRetriedWithLineWhileFolderCannotBeUsed() throws Exception {
    FakeMember failed = new FakeMember();
    FakeMember next = new FakeMember();
    final ControlMemberSupervisor supervisor = start(failed);
    starts.add(
        () -> {
          throw new ProgramException(ExitCode.DATA, "No space left on device");
        });
    starts.add(() -> next);

    failed.ends(ExitCode.DATA);
    next.ends(ExitCode.INTERNAL);

    assertThat(supervisor.terminationFuture().join()).isEqualTo(ExitCode.INTERNAL);
    assertThat(writtenLines())
        .contains("\"event\":\"folder_unusable\"")
        .contains("No space left on device");
  }

  /** Guards against a member that goes on, and votes, after its process was told to stop. */
  @Test
  void memberThatStartsAfterTheCloseIsClosed() throws Exception {
    FakeMember failed = new FakeMember();
    final FakeMember late = new FakeMember();
    final ControlMemberSupervisor supervisor = start(failed);
    failed.ends(ExitCode.DATA);
    attempts.acquire(2);

    supervisor.close();
    starts.add(() -> late);

    late.closed().join();
    assertThat(supervisor.leaderVm()).isEmpty();
  }

  private ControlMemberSupervisor start(FakeMember first) throws ProgramException {
    starts.add(() -> first);
    ControlMemberSupervisor supervisor =
        new ControlMemberSupervisor(
            downtimeMs -> nextStart().run(), () -> {}, new MemberFailureLogger(Optional.of(log)));
    supervisor.start(0);
    return supervisor;
  }

  private Start nextStart() {
    attempts.release();
    try {
      return starts.take();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private String writtenLines() {
    log.close();
    return lines.toString(StandardCharsets.UTF_8);
  }
}
