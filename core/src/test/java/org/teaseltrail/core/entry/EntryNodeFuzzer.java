package org.teaseltrail.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.message.ClaimState;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.RefusalKind;
import org.teaseltrail.core.upstream.UpstreamPhase;

/** Sends random events to an entry VM's state machine and checks its actions. */
final class EntryNodeFuzzer {

  private static final MemberId[] MEMBERS = {EntryFixture.C1, EntryFixture.C2};

  private final Random random;
  private final EntryFixture vm = new EntryFixture();
  private final List<RequestId> requests = new ArrayList<>();
  private final List<EntryEvent> delayed = new ArrayList<>();
  private final CallerOracle oracle = new CallerOracle();
  private long fencing = 1;
  private long revision = 5;
  private long announcements;

  EntryNodeFuzzer(Random random) {
    this.random = random;
  }

  void run(int steps) {
    handleAndCheck(new EntryEvent.ControlConnected(MEMBERS[0]));
    for (int step = 0; step < steps; step++) {
      vm.nowNs += random.nextInt(300) * 1_000_000L;
      EntryEvent event = next();
      boolean external = !(event instanceof EntryEvent.RequestArrived);
      if (external && random.nextInt(5) == 0) {
        delayed.add(event);
      }
      if (!external || random.nextInt(8) != 0) {
        handleAndCheck(event);
      }
      if (!delayed.isEmpty() && random.nextInt(4) == 0) {
        handleAndCheck(delayed.remove(random.nextInt(delayed.size())));
      }
    }
  }

  private EntryEvent next() {
    return switch (random.nextInt(16)) {
      case 0 -> new EntryEvent.ControlConnected(member());
      case 1 -> random.nextInt(3) == 0 ? newLeader() : new EntryEvent.Tick();
      case 2, 3, 4 -> received(welcome());
      case 5 -> received(update());
      case 6, 7 -> arrival();
      case 8 -> received(grant());
      case 9 -> connected();
      case 10, 11, 12 -> frame();
      case 13 -> rareUpstreamEvent();
      case 14 -> rareControlEvent();
      default -> random.nextInt(4) == 0 ? new EntryEvent.CallerGone(request()) : connected();
    };
  }

  private EntryEvent newLeader() {
    fencing++;
    return new EntryEvent.ControlConnected(leader());
  }

  private MemberId leader() {
    return MEMBERS[(int) (fencing % MEMBERS.length)];
  }

  private MemberId member() {
    return MEMBERS[random.nextInt(MEMBERS.length)];
  }

  private long randomFencing() {
    return random.nextInt(4) == 0 ? Math.max(1, fencing - 1) : fencing;
  }

  private EntryEvent received(ControlMessage message) {
    return new EntryEvent.ControlReceived(random.nextInt(10) == 0 ? member() : leader(), message);
  }

  private ControlMessage welcome() {
    long last = vm.lastHello(leader());
    return new ControlMessage.Welcome(
        leader(),
        new FencingNumber(randomFencing()),
        new Revision(revision),
        3_000,
        random.nextInt(6) == 0,
        Math.max(0, last - random.nextInt(3)));
  }

  private ControlMessage update() {
    revision += random.nextInt(4) == 0 ? 1 : 0;
    return EntryFixture.update(
        randomFencing(), random.nextInt(4) == 0 ? Math.max(1, revision - 1) : revision);
  }

  private EntryEvent arrival() {
    RequestId id = new RequestId("q-" + requests.size());
    requests.add(id);
    boolean keyed = random.nextInt(3) == 0;
    long last = keyed && random.nextBoolean() ? random.nextInt(3) : -1;
    oracle.arrived(id, last + 1);
    return new EntryEvent.RequestArrived(
        id,
        EntryFixture.call(
            1 + random.nextInt(EntryFixture.TIERS),
            keyed ? Optional.of("k") : Optional.empty(),
            random.nextInt(4) == 0 ? 500 : 0,
            last < 0 ? Optional.empty() : Optional.of(last)));
  }

  private RequestId request() {
    if (requests.isEmpty()) {
      return new RequestId("q-none");
    }
    int recent = Math.max(0, requests.size() - 4);
    return requests.get(recent + random.nextInt(requests.size() - recent));
  }

  private EntryEvent connected() {
    RequestId id = request();
    int attempt = vm.attempt(id) - (random.nextInt(8) == 0 ? 1 : 0);
    return new EntryEvent.UpstreamConnected(id, attempt);
  }

  private ControlMessage grant() {
    return EntryFixture.grantOf(request(), randomFencing());
  }

  private EntryEvent frame() {
    RequestId id = request();
    RequestId stream = random.nextInt(12) == 0 ? request() : oracle.stream(id);
    long sequence = Math.max(0, oracle.nextFrame(id) - (random.nextInt(5) == 0 ? 1 : 0));
    sequence += random.nextInt(10) == 0 ? 1 : 0;
    boolean last = sequence >= 3 && random.nextInt(3) == 0;
    return new EntryEvent.FrameReceived(
        id,
        vm.attempt(id),
        last ? EntryFixture.end(stream, sequence) : EntryFixture.text(stream, sequence));
  }

  private EntryEvent rareUpstreamEvent() {
    RequestId id = request();
    return switch (random.nextInt(6)) {
      case 0 -> new EntryEvent.UpstreamConnectFailed(id, vm.attempt(id));
      case 1 -> new EntryEvent.UpstreamRefused(id, vm.attempt(id));
      case 2, 3 -> new EntryEvent.StreamBroken(id, vm.attempt(id));
      case 4 -> new EntryEvent.StreamUnknown(id, vm.attempt(id));
      default ->
          new EntryEvent.AnnouncementReceived(
              1,
              EntryFixture.announcement(
                  random.nextInt(5) == 0 ? UpstreamPhase.LEAVING : UpstreamPhase.SERVING,
                  announcements++),
              EntryFixture.SECRET_HASH);
    };
  }

  private EntryEvent rareControlEvent() {
    return switch (random.nextInt(4)) {
      case 0 -> new EntryEvent.ControlDisconnected(member());
      case 1 -> received(new ControlMessage.Refused(request(), RefusalKind.SHED, 100));
      case 2 ->
          received(
              new ControlMessage.ClaimExists(
                  request(),
                  new RequestId("holder"),
                  ClaimState.values()[random.nextInt(ClaimState.values().length)],
                  Optional.of(EntryFixture.U1),
                  Optional.of(EntryFixture.ADDRESS)));
      default ->
          received(
              new ControlMessage.NotLeader(leader(), Optional.empty(), vm.lastHello(leader())));
    };
  }

  private void handleAndCheck(EntryEvent event) {
    if (event instanceof EntryEvent.ControlReceived received) {
      oracle.welcomed(received);
    }
    oracle.check(event, vm.send(event), vm.nowNs);
    oracle.checkRevision(vm.node.status().revision());
  }
}
