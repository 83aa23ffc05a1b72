package org.teaseltrail.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.teaseltrail.core.entry.EntryFixture.ADDRESS;
import static org.teaseltrail.core.entry.EntryFixture.C1;
import static org.teaseltrail.core.entry.EntryFixture.U1;
import static org.teaseltrail.core.entry.EntryFixture.end;
import static org.teaseltrail.core.entry.EntryFixture.text;

import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.request.FailureReason;
import org.teaseltrail.core.request.Outcome;

/**
 * Tests that broken streams are resumed, and that no stream without an end frame counts as
 * completed.
 */
class EntryStreamTest {

  private final EntryFixture vm = new EntryFixture();

  @BeforeEach
  void join() {
    vm.join(C1, 1, 5);
  }

  // The connection breaks in the middle of an answer. The rest is requested from the same upstream
  // by sequence number, the duplicate frame is dropped, and the request is not sent again.
  @Test
  void brokenConnectionIsResumed() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    vm.frame(id, text(id, 0));
    vm.broken(id);
    vm.advance(50);

    assertThat(vm.actionsOfType(EntryAction.Resume.class))
        .singleElement()
        .extracting(EntryAction.Resume::fromSequence)
        .isEqualTo(1L);
    vm.frame(id, text(id, 0));
    vm.frame(id, text(id, 1));
    vm.frame(id, end(id, 2));
    assertThat(vm.delivered(id)).containsExactly("r-1/0", "r-1/1");
    assertThat(vm.outcome(id).orElseThrow()).isInstanceOf(Outcome.Completed.class);
    assertThat(vm.transmitCount(id)).isEqualTo(1);
  }

  // The end of an old connection is reported after the stream was resumed over a new one. It must
  // not count as a failure of the new connection.
  @Test
  void lateEventOfOldConnectionIsIgnored() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    final int old = vm.attempt(id);
    vm.broken(id);
    vm.advance(50);
    vm.send(new EntryEvent.StreamBroken(id, old));
    vm.advance(1_000);

    assertThat(vm.actionsOfType(EntryAction.Resume.class)).hasSize(1);
  }

  // A stream repeatedly ends without its end frame. The truncated answer must not count as
  // complete: after a limited number of attempts, the caller is informed that the request may have
  // run.
  @Test
  void missingEndMarkIsNeverCompleted() {
    RequestId id = vm.arrive(1);
    vm.dispatch(id);
    vm.frame(id, text(id, 0));
    for (int tries = 0; vm.outcome(id).isEmpty() && tries < 20; tries++) {
      vm.broken(id);
      vm.advance(1_000);
      vm.welcome(C1, 1, 5);
    }

    assertThat(vm.actionsOfType(EntryAction.Resume.class)).hasSize(5);
    assertThat(vm.outcome(id)).contains(new Outcome.MayHaveRun(FailureReason.STREAM_BROKEN));
    assertThat(vm.sentMessages(EntryMessage.Ended.class)).hasSize(1);
  }

  // An engine confuses two streams, which could deliver one caller's answer to another. The foreign
  // frame must be dropped, the connection closed, and the rest requested again.
  @Test
  void frameOfAnotherRequestIsNotDelivered() {
    RequestId id = vm.arrive(1);
    RequestId other = vm.arrive(2);
    vm.dispatch(id);
    vm.dispatch(other);
    vm.frame(id, text(other, 0));

    assertThat(vm.delivered(id)).isEmpty();
    vm.advance(50);
    assertThat(vm.actionsOfType(EntryAction.Resume.class)).hasSize(1);
  }

  // An entry VM fails during an answer. The caller retries through this VM with the idempotency key
  // and the last frame that it received; the VM takes the stream over from there, and nothing runs
  // twice.
  @Test
  void keyHoldersStreamIsAdopted() {
    RequestId id = vm.arrive(1, Optional.of("k"), 0, Optional.of(4L));
    RequestId holder = new RequestId("holder");
    vm.receive(
        C1,
        new ControlMessage.ClaimExists(
            id, holder, ClaimState.RUNNING, Optional.of(U1), Optional.of(ADDRESS)));

    EntryAction.Resume resume = vm.actionsOfType(EntryAction.Resume.class).get(0);
    assertThat(resume.stream()).isEqualTo(holder);
    assertThat(resume.fromSequence()).isEqualTo(5);
    vm.frame(id, text(holder, 5));
    vm.frame(id, end(holder, 6));
    assertThat(vm.delivered(id)).containsExactly("holder/5");
    assertThat(vm.transmitCount(id)).isZero();
    assertThat(vm.sentMessages(EntryMessage.Ended.class))
        .singleElement()
        .extracting(EntryMessage.Ended::request)
        .isEqualTo(holder);
  }

  @Test
  void keyHeldByWaitingRequestIsTold() {
    RequestId id = vm.arrive(1, Optional.of("k"), 0, Optional.empty());
    RequestId holder = new RequestId("holder");
    vm.receive(
        C1,
        new ControlMessage.ClaimExists(
            id, holder, ClaimState.MAY_HAVE_RUN, Optional.empty(), Optional.empty()));

    assertThat(vm.outcome(id)).contains(new Outcome.HeldByEarlier(holder, ClaimState.MAY_HAVE_RUN));
  }
}
