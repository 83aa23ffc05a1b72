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
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.RunningProgram;
import org.teaseltrail.runtime.process.StartCancelledException;
import org.teaseltrail.runtime.process.StartPause;

/**
 * Supervises a control member: restarts it within the same process after a disk failure.
 *
 * <p>Handles a disk that is temporarily full. A failed write can't be undone, so the member must
 * stop and recover from its data folder. If the process exited too, each attempt would cost a start
 * of the program, and its process supervisor would see a crash loop. While the disk fails, this VM
 * runs no member and replies that it is not the leader.
 *
 * <p>At any time a member runs, or its start is retried with a line that says why, or the process
 * ends with an exit code and a line. Nothing else that fails may leave a process without a member.
 */
public final class ControlMemberSupervisor implements RunningProgram {

  /** Delay between two attempts; short compared to the 4 to 5 s for which a disk stays full. */
  private static final long RETRY_MS = 500;

  private final MemberFailureLogger failures;
  private final SupervisedMember.Starter starter;
  private final RetryDelay retryDelay;
  private final CompletableFuture<ExitCode> ended = new CompletableFuture<>();
  private final Thread thread = new Thread(this::run, "member");
  private volatile Optional<SupervisedMember> current = Optional.empty();
  private volatile boolean closing;

  /**
   * Creates the supervisor of a member of a group that bootstraps itself. Until the member has
   * started, calls are answered as by a member that doesn't lead.
   *
   * @param options the member's options
   */
  public ControlMemberSupervisor(ControlOptions options) {
    this(
        knownDowntimeMs -> ControlDaemon.start(options, knownDowntimeMs),
        () -> StartPause.await(RETRY_MS),
        new MemberFailureLogger(options.log()));
  }

  /** Creates the supervisor of a member with a given starter and delay between two attempts. */
  ControlMemberSupervisor(
      SupervisedMember.Starter starter, RetryDelay retryDelay, MemberFailureLogger failures) {
    this.starter = starter;
    this.retryDelay = retryDelay;
    this.failures = failures;
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
    start(isEarlierInstanceLikely ? 0 : processAgeMs);
  }

  /** Starts the member after a time for which no earlier instance is known to have run. */
  void start(long knownDowntimeMs) throws ProgramException {
    startWithRetry(knownDowntimeMs);
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
    return current.flatMap(SupervisedMember::leaderVm);
  }

  /**
   * Counts a rejected heartbeat.
   *
   * @param failure why the heartbeat was rejected
   */
  public void onHeartbeatRefused(HeartbeatFailure failure) {
    current.ifPresent(member -> member.onHeartbeatRefused(failure));
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
    takeForClose().ifPresent(SupervisedMember::close);
  }

  private synchronized Optional<SupervisedMember> takeForClose() {
    closing = true;
    return current;
  }

  /** Keeps a member that has been started; returns false if it came after the close. */
  private synchronized boolean adopt(SupervisedMember started) {
    if (!closing) {
      current = Optional.of(started);
    }
    return !closing;
  }

  /**
   * Starts a member; retries until its data folder can be used or this supervisor is closed.
   *
   * @param knownDowntimeMs time for which no earlier instance of the member is known to have run;
   *     applies to the first attempt only, since another process may have used the folder before a
   *     later one
   */
  private void startWithRetry(long knownDowntimeMs) throws ProgramException {
    long downtimeMs = knownDowntimeMs;
    FolderFailureLogger unusable = new FolderFailureLogger(failures::folderUnusable);
    while (!closing) {
      try {
        SupervisedMember started = starter.start(downtimeMs);
        if (!adopt(started)) {
          started.close();
        }
        return;
      } catch (ProgramException e) {
        if (e.exitCode() != ExitCode.DATA) {
          throw e;
        }
        unusable.failed(e, System.nanoTime());
        downtimeMs = 0;
        retryDelay.await();
      }
    }
  }

  private void run() {
    try {
      supervise();
    } catch (StartCancelledException e) {
      // The process is being shut down, and closes this supervisor.
      return;
    } catch (ProgramException e) {
      end("Failed to restart the member; the process ends.", e, e.exitCode());
    } catch (RuntimeException | Error e) {
      end("Unexpected error; the process ends.", e, ExitCode.INTERNAL);
    }
  }

  private void supervise() throws ProgramException {
    while (!closing) {
      SupervisedMember member = current.orElseThrow();
      ExitCode code = member.terminationFuture().join();
      if (closing) {
        return;
      }
      if (code != ExitCode.DATA) {
        ended.complete(code);
        return;
      }
      restart(member);
    }
  }

  private void restart(SupervisedMember failed) throws ProgramException {
    final long startNs = System.nanoTime();
    current = Optional.empty();
    closeFailed(failed);
    retryDelay.await();
    startWithRetry(0);
    if (!closing) {
      failures.restarted(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
    }
  }

  /** What is still in use after a close that failed, such as a port, makes the next start fail. */
  private void closeFailed(SupervisedMember failed) {
    try {
      failed.close();
    } catch (RuntimeException e) {
      failures.memberFailed("Failed to close the member; restarting it.", e, ExitCode.DATA);
    }
  }

  private void end(String sentence, Throwable failure, ExitCode exitCode) {
    failures.processFailed(sentence, failure, exitCode);
    ended.complete(exitCode);
  }

  /** Waits between two attempts to start a member. */
  @FunctionalInterface
  interface RetryDelay {

    /**
     * Waits.
     *
     * @throws StartCancelledException if the process is being shut down
     */
    void await() throws StartCancelledException;
  }
}
