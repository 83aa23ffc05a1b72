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
import org.teaseltrail.runtime.settings.InvalidSettingValueException;
import org.teaseltrail.runtime.settings.ValueKinds;

/**
 * Client for the leader's operator API. Follows NotLeader responses to the leader and tries the
 * next member if one is unavailable.
 */
final class OperatorClient implements AutoCloseable {

  private static final long RETRY_DELAY_MS = 100;
  private static final long ATTEMPT_TIMEOUT_MS = 5_000;
  private static final long NS_PER_MS = 1_000_000;

  private final Map<InetSocketAddress, ManagedChannel> channels = new HashMap<>();
  private final List<InetSocketAddress> servers;
  private final ChannelFactory factory;
  private final RetryClock clock;
  private final long timeoutMs;
  private InetSocketAddress target;
  private int nextServer = 1;

  /**
   * Creates a client.
   *
   * @param servers the members to contact; at least one
   * @param factory opens channels to members
   * @param clock the clock for timeouts and retries
   * @param timeoutMs the timeout of one call including all its attempts
   */
  OperatorClient(
      List<InetSocketAddress> servers, ChannelFactory factory, RetryClock clock, long timeoutMs) {
    this.servers = List.copyOf(servers);
    this.factory = factory;
    this.clock = clock;
    this.timeoutMs = timeoutMs;
    this.target = servers.get(0);
  }

  /** Returns the clock for timeouts and retries. */
  RetryClock clock() {
    return clock;
  }

  /** Returns the timeout of one call including all its attempts, in milliseconds. */
  long timeoutMs() {
    return timeoutMs;
  }

  /**
   * Calls members until a leader answers. Retrying calls that change state is safe: a change
   * carries its id, a membership change that is already done is rejected, and orders are
   * idempotent.
   *
   * @param call the call
   * @param notLeader extracts the NotLeader result of a response, if it has one
   * @param <T> the type of the response
   * @return the leader's response
   * @throws ProgramException if no leader answers within the timeout
   */
  <T> T call(Function<OperatorBlockingStub, T> call, Function<T, Optional<NotLeader>> notLeader)
      throws ProgramException {
    long deadlineNs = clock.nowNs() + timeoutMs * NS_PER_MS;
    while (true) {
      String failure;
      try {
        T response = call.apply(stub());
        Optional<NotLeader> elsewhere = notLeader.apply(response);
        if (elsewhere.isEmpty()) {
          return response;
        }
        failure = describe(elsewhere.get());
        followLeader(elsewhere.get());
      } catch (StatusRuntimeException e) {
        failure = text(target) + " answers " + e.getStatus().getCode();
        retryOrThrow(e);
      }
      if (clock.nowNs() >= deadlineNs) {
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

  private void followLeader(NotLeader response) throws ProgramException {
    if (!response.hasLeaderAddress()) {
      tryNextServer();
      return;
    }
    InetSocketAddress leader = parse(response.getLeaderAddress());
    if (leader.equals(target)) {
      clock.sleepMs(RETRY_DELAY_MS);
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
    clock.sleepMs(RETRY_DELAY_MS);
    target = servers.get(nextServer % servers.size());
    nextServer++;
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static String describe(NotLeader response) {
    return response.getMember() + " does not lead";
  }

  private static InetSocketAddress parse(String address) throws ProgramException {
    try {
      return ValueKinds.address().parse(address);
    } catch (InvalidSettingValueException e) {
      throw new ProgramException(ExitCode.INTERNAL, "leader's address " + e.getMessage(), e);
    }
  }
}
