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
import org.teaseltrail.runtime.log.ComponentLogger;
import org.teaseltrail.runtime.log.LogEvent;
import org.teaseltrail.runtime.log.LogField;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.RunningProgram;
import org.teaseltrail.runtime.process.StartPause;

/**
 * Supervises a control member: restarts it within the same process after a disk failure.
 *
 * <p>Handles a disk that is temporarily full. A failed write can't be undone, so the member must
 * stop and recover from its data folder. If the process exited too, each attempt would cost a start
 * of the program, and its process supervisor would see a crash loop. While the disk fails, this VM
 * runs no member and replies that it is not the leader.
 */
public final class ControlMemberSupervisor implements RunningProgram {

  /** Delay between two attempts; short compared to the 4 to 5 s for which a disk stays full. */
  private static final long RETRY_MS = 500;

  private final ComponentLogger logger = new ComponentLogger("control");
  private final ControlOptions options;
  private final CompletableFuture<ExitCode> ended = new CompletableFuture<>();
  private final Thread thread = new Thread(this::run, "member");
  private volatile Optional<ControlDaemon> current = Optional.empty();
  private volatile boolean closing;

  /**
   * Creates the supervisor of a member of a group that bootstraps itself. Until the member has
   * started, calls are answered as by a member that doesn't lead.
   *
   * @param options the member's options
   */
  public ControlMemberSupervisor(ControlOptions options) {
    this.options = options;
    thread.setDaemon(true);
  }

  /**
   * Starts the member. Waits until its data folder can be used.
   *
   * @param isEarlierInstanceLikely whether another process held an address of this one after this
   *     one had been started
   * @throws ProgramException if the member can't start for a reason other than its disk
   */
  public void start(boolean isEarlierInstanceLikely) throws ProgramException {
    // The platform starts a process only after the previous one has exited, so no earlier instance
    // has run for at least the age of this process.
    long processAgeMs = ManagementFactory.getRuntimeMXBean().getUptime();
    current = Optional.of(startWithRetry(options, isEarlierInstanceLikely ? 0 : processAgeMs));
    thread.start();
  }

  /**
   * Passes a request to the member.
   *
   * @param request the request
   * @return the result; {@code NotLeader} if no member runs
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
   * Counts a rejected heartbeat.
   *
   * @param failure why the heartbeat was rejected
   */
  public void onHeartbeatRefused(HeartbeatFailure failure) {
    current.ifPresent(daemon -> daemon.onHeartbeatRefused(failure));
  }

  /**
   * Adds VMs to which the member sends its requests to join while it is not part of the group.
   *
   * @param seeds the VMs
   */
  public void seeds(List<VmId> seeds) {
    current.ifPresent(member -> member.seeds(seeds));
  }

  @Override
  public CompletableFuture<ExitCode> terminationFuture() {
    return ended;
  }

  @Override
  public void close() {
    closing = true;
    current.ifPresent(ControlDaemon::close);
  }

  /**
   * Starts a member; retries until its data folder can be used.
   *
   * @param knownDowntimeMs time for which no earlier instance of the member is known to have run;
   *     applies to the first attempt only, since another process may have used the folder before a
   *     later one
   */
  private static ControlDaemon startWithRetry(ControlOptions options, long knownDowntimeMs)
      throws ProgramException {
    long downtimeMs = knownDowntimeMs;
    FolderFailureLogger failures =
        new FolderFailureLogger((sentence, cause) -> reportFolder(options, sentence, cause));
    while (true) {
      try {
        return ControlDaemon.start(options, downtimeMs);
      } catch (ProgramException e) {
        if (e.exitCode() != ExitCode.DATA) {
          throw e;
        }
        failures.failed(e, System.nanoTime());
        downtimeMs = 0;
        StartPause.await(RETRY_MS);
      }
    }
  }

  private static void reportFolder(ControlOptions options, String sentence, Throwable cause) {
    new ComponentLogger("control").error(sentence, cause);
    String reason = cause == null ? sentence : String.valueOf(cause.getMessage());
    options
        .log()
        .ifPresent(log -> log.line(LogEvent.FOLDER_UNUSABLE).with(LogField.REASON, reason).write());
  }

  private void run() {
    while (!closing && current.isPresent()) {
      ExitCode code = current.get().terminationFuture().join();
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
      sleepBeforeRetry();
      current = Optional.of(startWithRetry(options, 0));
      logger.info("Restarted the member.");
    } catch (ProgramException e) {
      logger.error("Failed to restart the member.", e);
      ended.complete(e.exitCode());
    }
  }

  private static void sleepBeforeRetry() {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
