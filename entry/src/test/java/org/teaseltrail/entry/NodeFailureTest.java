package org.teaseltrail.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.teaseltrail.core.entry.EntryAction;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.entry.EntryNode;
import org.teaseltrail.core.entry.EntrySettings;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.runtime.process.ExitCode;

/** Tests what becomes of an entry VM whose decisions, or their execution, fail unexpectedly. */
@Timeout(60)
class NodeFailureTest {

  private static final int TIMEOUT_MS = 10_000;

  private static final EntryEvent UNDECIDABLE =
      new EntryEvent.RequestArrived(new RequestId("r-1"), null);

  /** Guards against a VM that can't decide any more and is still sent callers. */
  @Test
  void errorInDecisionsEndsTheProcess() throws Exception {
    try (EntryTestEnvironment environment = new EntryTestEnvironment()) {
      environment.entry.parts().loop().submit(UNDECIDABLE);

      ExitCode code = environment.entry.terminationFuture().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertThat(code).isEqualTo(ExitCode.INTERNAL);
      environment.awaitListenerClosed();
    }
  }

  /** Guards against one request whose action fails and keeps back those of others. */
  @Test
  void failedActionKeepsBackNoOther() throws Exception {
    EntrySettings settings =
        EntrySettings.defaults(
            new VmId("entry-1"), new Incarnation(1), new DataCenterId("regina-a"));
    List<EntryAction> executed = new ArrayList<>();
    CompletableFuture<Void> done = new CompletableFuture<>();
    try (NodeEventLoop loop = new NodeEventLoop(new EntryNode(settings))) {
      loop.setActionExecutor(
          action -> {
            executed.add(action);
            throw new IllegalStateException("a programming error");
          });
      loop.submit(new EntryEvent.ControlConnected(new MemberId("control-1-0")));
      loop.run(() -> done.complete(null));
      done.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);

      assertThat(executed).isNotEmpty();
      assertThat(loop.failure()).isNotDone();
    }
  }
}
