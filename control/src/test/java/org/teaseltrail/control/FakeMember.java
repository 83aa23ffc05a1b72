package org.teaseltrail.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.teaseltrail.core.control.OperatorRequest;
import org.teaseltrail.core.control.OperatorResult;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.HeartbeatFailure;
import org.teaseltrail.runtime.process.ExitCode;

/** Member that ends when a test says so, and whose close fails if told to. */
final class FakeMember implements SupervisedMember {

  private final CompletableFuture<ExitCode> ended = new CompletableFuture<>();
  private final CompletableFuture<Void> closed = new CompletableFuture<>();
  private Optional<RuntimeException> closeFailure = Optional.empty();

  FakeMember failsToClose(RuntimeException failure) {
    closeFailure = Optional.of(failure);
    return this;
  }

  FakeMember ends(ExitCode code) {
    ended.complete(code);
    return this;
  }

  /** Completes when the member has been closed. */
  CompletableFuture<Void> closed() {
    return closed;
  }

  @Override
  public CompletableFuture<OperatorResult> call(OperatorRequest request) {
    return new CompletableFuture<>();
  }

  @Override
  public Optional<VmId> leaderVm() {
    return Optional.of(new VmId("127.0.0.1:1"));
  }

  @Override
  public void onHeartbeatRefused(HeartbeatFailure failure) {}

  @Override
  public void seeds(List<VmId> seeds) {}

  @Override
  public CompletableFuture<ExitCode> terminationFuture() {
    return ended;
  }

  @Override
  public void close() {
    closed.complete(null);
    closeFailure.ifPresent(
        failure -> {
          throw failure;
        });
  }
}
