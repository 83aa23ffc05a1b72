package org.teaseltrail.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EndKind;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Ticket;
import org.teaseltrail.core.message.Usage;

/** Is one request as its VM sees it: the truth that the scheduler is checked against. */
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

  int addTokens(int more) {
    tokens += more;
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

  /** The VM gave the request up, or was told that it is; what it dispatched it keeps. */
  void refused() {
    if (stage == Stage.WAITING) {
      stage = Stage.ENDED;
    }
  }

  /** The scheduler learned, or will learn, that its grant is void; or there is a new scheduler. */
  void voidGrant() {
    outstanding = null;
  }

  /** Checks a grant, be it new or sent again. */
  void checkMayBeGranted(UpstreamId to) {
    assertThat(endReported).as("%s was granted after its end was told", id()).isFalse();
    assertThat(outstanding).as("%s has two grants", id()).isIn(null, to);
    outstanding = to;
  }

  void checkMayBeRefused() {
    assertThat(stage).as("%s was refused while it runs", id()).isNotEqualTo(Stage.RUNNING);
    assertThat(outstanding).as("%s was refused while granted", id()).isNull();
  }
}
