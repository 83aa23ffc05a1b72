package org.teaseltrail.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.control.ControlAction;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.ControlMessage;

class LeaseGuardedQueueTest {

  private final List<ControlAction> sent = new ArrayList<>();
  private boolean leaseValid = true;
  private final LeaseGuardedQueue queue = new LeaseGuardedQueue(() -> leaseValid, sent::add);

  private static ControlAction action(String request) {
    return new ControlAction.SendToEntryVm(
        new VmId("e1"),
        new ControlMessage.ClaimExists(
            new RequestId(request),
            new RequestId("r0"),
            ClaimState.RUNNING,
            Optional.empty(),
            Optional.empty()));
  }

  /**
   * Guards against a grant that is sent after another member has become leader. This happens if the
   * process pauses between the decision, made under the lease, and the send. The grant must not be
   * sent, and must be dropped once the loss of leadership is known.
   */
  @Test
  void sendsNothingAfterLeaseExpiry() {
    leaseValid = false;
    queue.add(action("r1"));
    queue.flush();
    assertThat(sent).isEmpty();
    queue.clear();
    leaseValid = true;
    queue.flush();
    assertThat(sent).isEmpty();
  }

  @Test
  void sendsInOrderOnceTheLeaseIsValidAgain() {
    leaseValid = false;
    queue.add(action("r1"));
    leaseValid = true;
    queue.add(action("r2"));
    assertThat(sent).containsExactly(action("r1"), action("r2"));
  }
}
