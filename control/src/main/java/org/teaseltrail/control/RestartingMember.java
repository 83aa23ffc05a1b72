package org.teaseltrail.control;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.teaseltrail.core.control.OperatorRequest;
import org.teaseltrail.core.control.OperatorResult;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.HeartbeatFailure;
import org.teaseltrail.runtime.log.PartLogger;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.RunningProgram;

/**
 * Runs a control member and starts it anew, in the same process, when its disk has failed.
 *
 * <p>Guards against a disk that is full for a while: a failed write can't be taken back, so the
 * member must end and read its folder again. If its process ended with it, each try would cost a
 * start of the program, and whoever watches the process would see it end over and over. While the
 * disk refuses, this VM has no member and answers that it leads nothing.
 */
public final class RestartingMember implements RunningProgram {

  /** Time between two tries; a full disk of the users stays so for 4 to 5 s. */
  private static final long RETRY_MS = 500;

  private final PartLogger logger = new PartLogger("control");
  private final ControlOptions options;
  private final CompletableFuture<ExitCode> ended = new CompletableFuture<>();
  private final Thread thread = new Thread(this::run, "member");
  private volatile Optional<ControlDaemon> current;
  private volatile boolean closing;

  private RestartingMember(ControlOptions options, ControlDaemon first) {
    this.options = options;
    current = Optional.of(first);
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Starts a member of a group that forms itself.
   *
   * @param options its settings
   * @return the running member
   * @throws ProgramException if it can't start for another reason than its disk
   */
  public static RestartingMember start(ControlOptions options) throws ProgramException {
    // The platform starts a process only once the one before is gone.
    long processAgeMs = ManagementFactory.getRuntimeMXBean().getUptime();
    return new RestartingMember(options, firstStart(options, processAgeMs));
  }

  /**
   * Asks the member for something.
   *
   * @param request what is asked for
   * @return the answer
   */
  public CompletableFuture<OperatorResult> call(OperatorRequest request) {
    return current
        .map(member -> member.call(request))
        .orElseGet(
            () ->
                CompletableFuture.completedFuture(new OperatorResult.NotLeader(Optional.empty())));
  }

  /**
   * Returns the VM of the leader.
   *
   * @return the VM, if the member runs and knows a leader
   */
  public Optional<VmId> leaderVm() {
    return current.flatMap(ControlDaemon::leaderVm);
  }

  /**
   * Counts a heartbeat that can't be taken in.
   *
   * @param failure what is wrong with it
   */
  public void heartbeatRefused(HeartbeatFailure failure) {
    current.ifPresent(daemon -> daemon.heartbeatRefused(failure));
  }

  /**
   * Takes other VMs to ask for the group, should this member be outside of it.
   *
   * @param seeds the VMs
   */
  public void seeds(List<VmId> seeds) {
    current.ifPresent(member -> member.seeds(seeds));
  }

  @Override
  public CompletableFuture<ExitCode> ended() {
    return ended;
  }

  @Override
  public void close() {
    closing = true;
    current.ifPresent(ControlDaemon::close);
  }

  /**
   * Starts a member, as soon as its disk lets it.
   *
   * @param silentMs time for which its last life is known to be over if the first try succeeds;
   *     before a later one another process may have used the folder
   */
  private static ControlDaemon firstStart(ControlOptions options, long silentMs)
      throws ProgramException {
    long knownMs = silentMs;
    while (true) {
      try {
        return ControlDaemon.start(options, knownMs);
      } catch (ProgramException e) {
        if (e.exitCode() != ExitCode.DATA) {
          throw e;
        }
        new PartLogger("control").error("The data folder can't be used; tries again.", e);
        knownMs = 0;
        pause();
      }
    }
  }

  private void run() {
    while (!closing && current.isPresent()) {
      ExitCode code = current.get().ended().join();
      if (closing) {
        return;
      }
      if (code != ExitCode.DATA) {
        ended.complete(code);
        return;
      }
      restart();
    }
  }

  private void restart() {
    ControlDaemon failed = current.orElseThrow();
    current = Optional.empty();
    failed.close();
    try {
      pause();
      current = Optional.of(firstStart(options, 0));
      logger.info("Runs its member again.");
    } catch (ProgramException e) {
      logger.error("The member can't be started again.", e);
      ended.complete(e.exitCode());
    }
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
