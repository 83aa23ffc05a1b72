package org.teaseltrail.cli;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.teaseltrail.api.v1.NotLeader;
import org.teaseltrail.api.v1.OperatorGrpc;
import org.teaseltrail.api.v1.OperatorGrpc.OperatorBlockingStub;
import org.teaseltrail.runtime.process.ExitCode;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.settings.Kinds;
import org.teaseltrail.runtime.settings.SettingValueException;

/** Calls the leader: follows answers that name it, and asks the next member when one is silent. */
final class OperatorClient implements AutoCloseable {

  private static final long PAUSE_MS = 100;
  private static final long ATTEMPT_TIMEOUT_MS = 5_000;
  private static final long NS_PER_MS = 1_000_000;

  private final Map<InetSocketAddress, ManagedChannel> channels = new HashMap<>();
  private final List<InetSocketAddress> servers;
  private final ChannelFactory factory;
  private final Pause pause;
  private final long timeoutMs;
  private InetSocketAddress target;
  private int nextServer = 1;

  /**
   * Makes a client.
   *
   * @param servers the members to ask; at least one
   * @param factory opens channels
   * @param pause the clock
   * @param timeoutMs how long one call may take, all its attempts together
   */
  OperatorClient(
      List<InetSocketAddress> servers, ChannelFactory factory, Pause pause, long timeoutMs) {
    this.servers = List.copyOf(servers);
    this.factory = factory;
    this.pause = pause;
    this.timeoutMs = timeoutMs;
    this.target = servers.get(0);
  }

  /** Returns the clock. */
  Pause pause() {
    return pause;
  }

  /** Returns how long one call may take, all its attempts together, in milliseconds. */
  long timeoutMs() {
    return timeoutMs;
  }

  /**
   * Calls until a leader answers. Calls that change state are safe to send again: a change carries
   * its id, a member step that is done is refused, and orders are idempotent.
   *
   * @param call the call
   * @param notLeader finds the answer that names another leader
   * @param <T> the type of the answer
   * @return the leader's answer
   * @throws ProgramException if none answers in time
   */
  <T> T call(Function<OperatorBlockingStub, T> call, Function<T, Optional<NotLeader>> notLeader)
      throws ProgramException {
    long deadlineNs = pause.nowNs() + timeoutMs * NS_PER_MS;
    while (true) {
      String failure;
      try {
        T answer = call.apply(stub());
        Optional<NotLeader> elsewhere = notLeader.apply(answer);
        if (elsewhere.isEmpty()) {
          return answer;
        }
        failure = describe(elsewhere.get());
        follow(elsewhere.get());
      } catch (StatusRuntimeException e) {
        failure = text(target) + " answers " + e.getStatus().getCode();
        retryOrThrow(e);
      }
      if (pause.nowNs() >= deadlineNs) {
        throw new ProgramException(ExitCode.UNAVAILABLE, "no leader answers: " + failure);
      }
    }
  }

  @Override
  public void close() {
    channels.values().forEach(ManagedChannel::shutdownNow);
  }

  private OperatorBlockingStub stub() {
    ManagedChannel channel = channels.computeIfAbsent(target, factory::open);
    return OperatorGrpc.newBlockingStub(channel)
        .withDeadlineAfter(ATTEMPT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void follow(NotLeader answer) throws ProgramException {
    if (!answer.hasLeaderAddress()) {
      tryNextServer();
      return;
    }
    InetSocketAddress leader = parse(answer.getLeaderAddress());
    if (leader.equals(target)) {
      pause.pauseMs(PAUSE_MS);
    }
    target = leader;
  }

  private void retryOrThrow(StatusRuntimeException failure) throws ProgramException {
    Status.Code code = failure.getStatus().getCode();
    if (code != Status.Code.UNAVAILABLE && code != Status.Code.DEADLINE_EXCEEDED) {
      throw new ProgramException(
          ExitCode.INTERNAL, text(target) + " answers " + failure.getStatus(), failure);
    }
    tryNextServer();
  }

  private void tryNextServer() {
    pause.pauseMs(PAUSE_MS);
    target = servers.get(nextServer % servers.size());
    nextServer++;
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static String describe(NotLeader answer) {
    return answer.getMember() + " does not lead";
  }

  private static InetSocketAddress parse(String address) throws ProgramException {
    try {
      return Kinds.address().parse(address);
    } catch (SettingValueException e) {
      throw new ProgramException(ExitCode.INTERNAL, "leader's address " + e.getMessage(), e);
    }
  }
}
