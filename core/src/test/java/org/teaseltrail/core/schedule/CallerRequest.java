package org.teaseltrail.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.message.Usage;

/** The reference model of one request at its VM, against which the scheduler is checked. */
final class CallerRequest {

  private enum Stage {
    WAITING,
    RUNNING,
    ENDED
  }

  private final Ticket ticket;
  private final VmId vm;
  private Stage stage = Stage.WAITING;
  private UpstreamId upstream;
  private int tokens;
  private boolean endReported;
  private UpstreamId outstanding;

  CallerRequest(Ticket ticket, VmId vm) {
    this.ticket = ticket;
    this.vm = vm;
  }

  Ticket ticket() {
    return ticket;
  }

  RequestId id() {
    return ticket.request();
  }

  VmId vm() {
    return vm;
  }

  UpstreamId upstream() {
    return upstream;
  }

  boolean isWaiting() {
    return stage == Stage.WAITING;
  }

  boolean isRunning() {
    return stage == Stage.RUNNING;
  }

  boolean isEnded() {
    return stage == Stage.ENDED;
  }

  void dispatched(UpstreamId to) {
    stage = Stage.RUNNING;
    upstream = to;
  }

  int addTokens(int count) {
    tokens += count;
    return tokens;
  }

  void ended() {
    stage = Stage.ENDED;
    endReported = true;
  }

  EntryMessage.Ended endMessage(EndKind kind) {
    Usage usage = new Usage(ticket.promptTokens(), 0, tokens);
    return new EntryMessage.Ended(id(), upstream, kind, usage, 100);
  }

  /** Records that the VM withdrew the request or received its refusal; ignored once dispatched. */
  void refused() {
    if (stage == Stage.WAITING) {
      stage = Stage.ENDED;
    }
  }

  /** Records that the grant is void: declined, withdrawn or issued by an earlier scheduler. */
  void voidGrant() {
    outstanding = null;
  }

  /** Checks that a grant, new or resent, is allowed. */
  void checkMayBeGranted(UpstreamId to) {
    assertThat(endReported).as("%s was granted after its end was reported", id()).isFalse();
    assertThat(outstanding).as("%s has two grants", id()).isIn(null, to);
    outstanding = to;
  }

  void checkMayBeRefused() {
    assertThat(stage).as("%s was refused while it runs", id()).isNotEqualTo(Stage.RUNNING);
    assertThat(outstanding).as("%s was refused while granted", id()).isNull();
  }
}
