package org.teaseltrail.core.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.request.Outcome;
import org.teaseltrail.core.request.StreamFrame;
import org.teaseltrail.core.upstream.UpstreamPhase;

/**
 * Test oracle that derives from an entry VM's inputs and actions alone what the VM may do, and
 * checks each of its actions.
 */
final class CallerOracle {

  private static final long LIFETIME_NS = 3_000_000_000L;

  private final Map<RequestId, Long> firstRequested = new HashMap<>();
  private final Map<RequestId, Long> nextFrames = new HashMap<>();
  private final Map<RequestId, RequestId> streams = new HashMap<>();
  private final Set<RequestId> dispatched = new HashSet<>();
  private final Set<RequestId> concluded = new HashSet<>();
  private final Map<Long, Long> helloSentNs = new HashMap<>();
  private long validUntilNs = Long.MIN_VALUE;
  private long revision;
  private long newestAnnouncement = -1;
  private boolean leaving;

  void arrived(RequestId id, long firstFrame) {
    firstRequested.put(id, firstFrame);
  }

  RequestId stream(RequestId id) {
    return streams.getOrDefault(id, id);
  }

  long nextFrame(RequestId id) {
    return nextFrames.getOrDefault(id, 0L);
  }

  void welcomed(EntryEvent.ControlReceived received) {
    if (received.message() instanceof ControlMessage.Welcome welcome) {
      long sentNs = helloSentNs.getOrDefault(welcome.sequence(), Long.MIN_VALUE / 2);
      validUntilNs = Math.max(validUntilNs, sentNs + LIFETIME_NS);
    }
  }

  void checkRevision(long now) {
    assertThat(now).isGreaterThanOrEqualTo(revision);
    revision = now;
  }

  void check(EntryEvent event, List<EntryAction> actions, long nowNs) {
    for (EntryAction action : actions) {
      if (action instanceof EntryAction.Transmit transmit) {
        dispatched(transmit.request());
      } else if (action instanceof EntryAction.Resume resume) {
        resumed(resume);
      } else if (action instanceof EntryAction.Deliver deliver) {
        delivered(deliver.request(), deliver.frame());
      } else if (action instanceof EntryAction.Conclude conclude) {
        concluded(event, conclude.request(), conclude.outcome());
      } else {
        checkControl(event, action, nowNs);
      }
    }
  }

  private void checkControl(EntryEvent event, EntryAction action, long nowNs) {
    if (action instanceof EntryAction.SendControl send
        && send.message() instanceof EntryMessage.Hello hello) {
      helloSentNs.put(hello.sequence(), nowNs);
    } else if (action instanceof EntryAction.Log log
        && log.decision().kind() == EntryDecisionKind.ADMIT) {
      assertThat(nowNs).isLessThan(validUntilNs);
    } else if (action instanceof EntryAction.AnswerUpstream answer
        && answer.verdict() == UpstreamVerdict.ACCEPTED) {
      announced((EntryEvent.AnnouncementReceived) event);
    }
  }

  private void announced(EntryEvent.AnnouncementReceived heard) {
    if (heard.announcement().sequence() > newestAnnouncement) {
      newestAnnouncement = heard.announcement().sequence();
      leaving = heard.announcement().phase() == UpstreamPhase.LEAVING;
    }
  }

  private void dispatched(RequestId id) {
    assertThat(dispatched.add(id)).as("second dispatch of " + id).isTrue();
    assertThat(concluded).doesNotContain(id);
    assertThat(streams).doesNotContainKey(id);
    assertThat(leaving).isFalse();
  }

  private void resumed(EntryAction.Resume resume) {
    RequestId id = resume.request();
    if (!resume.stream().equals(id)) {
      assertThat(dispatched).doesNotContain(id);
      if (streams.put(id, resume.stream()) == null) {
        nextFrames.put(id, firstRequested.get(id));
      }
    }
    assertThat(resume.fromSequence()).isEqualTo(nextFrame(id));
  }

  private void delivered(RequestId id, StreamFrame.Text frame) {
    assertThat(concluded).doesNotContain(id);
    assertThat(frame.sequence()).isEqualTo(nextFrame(id));
    assertThat(frame.text()).isEqualTo(stream(id) + "/" + frame.sequence());
    nextFrames.put(id, frame.sequence() + 1);
  }

  private void concluded(EntryEvent event, RequestId id, Outcome outcome) {
    assertThat(concluded.add(id)).as("second outcome of " + id).isTrue();
    if (outcome instanceof Outcome.NotRun) {
      boolean refused =
          event instanceof EntryEvent.UpstreamRefused refusal && refusal.request().equals(id);
      assertThat(!dispatched.contains(id) || refused)
          .as("outcome 'not run' although dispatched: " + id)
          .isTrue();
      assertThat(streams).doesNotContainKey(id);
    } else if (outcome instanceof Outcome.Completed) {
      StreamFrame last = ((EntryEvent.FrameReceived) event).frame();
      assertThat(last).isInstanceOf(StreamFrame.End.class);
      assertThat(last.stream()).isEqualTo(stream(id));
      assertThat(last.sequence()).isEqualTo(nextFrame(id));
    }
  }
}
