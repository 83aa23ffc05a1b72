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

class OutwardQueueTest {

  private final List<ControlAction> sent = new ArrayList<>();
  private boolean leaseHolds = true;
  private final OutwardQueue queue = new OutwardQueue(() -> leaseHolds, sent::add);

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
   * The process is frozen after the member has decided on a grant under its lease, and thaws when
   * another member leads. The grant must stay back, and be dropped once the loss is known.
   */
  @Test
  void sendsNothingOnceTheLeaseHasRunOut() {
    leaseHolds = false;
    queue.add(action("r1"));
    queue.flush();
    assertThat(sent).isEmpty();
    queue.clear();
    leaseHolds = true;
    queue.flush();
    assertThat(sent).isEmpty();
  }

  @Test
  void goesOnInOrderWhenTheLeaseHoldsAgain() {
    leaseHolds = false;
    queue.add(action("r1"));
    leaseHolds = true;
    queue.add(action("r2"));
    assertThat(sent).containsExactly(action("r1"), action("r2"));
  }
}
