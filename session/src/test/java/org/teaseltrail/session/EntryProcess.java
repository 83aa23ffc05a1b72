package org.teaseltrail.session;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.teaseltrail.core.entry.EntryAction;
import org.teaseltrail.core.entry.EntryEvent;
import org.teaseltrail.core.entry.EntryNode;
import org.teaseltrail.core.entry.EntrySettings;
import org.teaseltrail.core.entry.EntryStatus;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;

/** Simulated entry VM with its connections to control members, engines and callers. */
final class EntryProcess extends FakeProcess {

  private static final long RECONNECT_NS = 50 * Timeline.MS;
  private static final long CONNECT_TIMEOUT_NS = 1_000 * Timeline.MS;

  private final VmId vm;
  private final Map<MemberId, ControlConnection> control = new LinkedHashMap<>();
  private final Map<RequestId, Submission> submissions = new LinkedHashMap<>();
  private final Map<RequestId, EngineReader> readers = new HashMap<>();
  private EntryNode node;
  private boolean listening;
  private long revision;

  EntryProcess(SessionWorld world, String name) {
    super(world, name);
    this.vm = new VmId(name);
  }

  VmId vm() {
    return vm;
  }

  boolean isListening() {
    return isUp() && listening;
  }

  boolean isReady() {
    return isUp() && !isFrozen() && node.isReady(localNs());
  }

  EntryStatus status() {
    return node.status();
  }

  long revision() {
    return revision;
  }

  @Override
  void begin() {
    listening = true;
    revision = 0;
    node =
        new EntryNode(EntrySettings.defaults(vm, new Incarnation(life()), new DataCenterId("a")));
    world.members().forEach(this::connect);
  }

  @Override
  void ended() {
    control.values().forEach(ControlConnection::closeByEntry);
    control.clear();
    readers.values().forEach(EngineReader::close);
    readers.clear();
    submissions.values().forEach(Submission::lost);
    submissions.clear();
  }

  @Override
  OptionalLong nextWakeupNs() {
    return node.nextWakeupNs();
  }

  @Override
  void tick() {
    handle(new EntryEvent.Tick());
  }

  void arrive(Submission submission) {
    submissions.put(submission.id(), submission);
    deliver(life(), () -> handle(new EntryEvent.RequestArrived(submission.id(), submission.ask())));
  }

  void hangUp(Submission submission) {
    submissions.remove(submission.id());
    deliver(life(), () -> handle(new EntryEvent.CallerGone(submission.id())));
  }

  void hear(Announcement announcement) {
    later(
        world.network().delayNs(),
        () ->
            handle(new EntryEvent.AnnouncementReceived(0, announcement, SessionWorld.SECRET_HASH)));
  }

  void hear(CacheEvent event) {
    later(
        world.network().delayNs(),
        () -> handle(new EntryEvent.CacheEventReceived(0, event, SessionWorld.SECRET_HASH)));
  }

  void received(ControlProcess member, ControlMessage message) {
    handle(new EntryEvent.ControlReceived(member.id(), message));
  }

  void disconnected(ControlConnection connection) {
    if (control.remove(connection.member().id(), connection)) {
      handle(new EntryEvent.ControlDisconnected(connection.member().id()));
      later(RECONNECT_NS, () -> connect(connection.member()));
    }
  }

  void drain() {
    handle(new EntryEvent.DrainRequested());
  }

  private void connect(ControlProcess member) {
    boolean reachable =
        member.isUp()
            && !world.network().isCut(this, member)
            && !world.network().isCut(member, this);
    if (!reachable) {
      later(RECONNECT_NS, () -> connect(member));
      return;
    }
    ControlConnection connection = new ControlConnection(this, member);
    control.put(member.id(), connection);
    connection.open();
    later(2 * world.network().delayNs(), () -> onEstablished(connection));
  }

  private void onEstablished(ControlConnection connection) {
    if (control.get(connection.member().id()) == connection) {
      handle(new EntryEvent.ControlConnected(connection.member().id()));
    }
  }

  void handle(EntryEvent event) {
    if (!isUp()) {
      return;
    }
    List<EntryAction> actions = node.handle(event, localNs());
    world.checks().configured(this, revision, node.status().revision());
    revision = node.status().revision();
    boolean arrived = event instanceof EntryEvent.RequestArrived;
    if (arrived && actions.stream().noneMatch(EntryAction.Conclude.class::isInstance)) {
      world.checks().admitted(this);
    }
    actions.forEach(this::execute);
    rearm();
  }

  private void execute(EntryAction action) {
    world.trace().fromEntry(this, action);
    if (action instanceof EntryAction.SendControl send) {
      ControlConnection connection = control.get(send.member());
      if (connection != null) {
        connection.toMember(send.message());
      }
    } else if (action instanceof EntryAction.ReconnectControl reconnect) {
      reconnect(reconnect.member());
    } else if (action instanceof EntryAction.Deliver deliver) {
      withSubmission(deliver.request(), s -> s.delivered(deliver.frame()));
    } else if (action instanceof EntryAction.Conclude conclude) {
      withSubmission(conclude.request(), s -> s.concluded(conclude.outcome()));
      submissions.remove(conclude.request());
    } else if (action instanceof EntryAction.CloseListener) {
      listening = false;
    } else if (action instanceof EntryAction.Exit) {
      world.checks().exits(this, submissions.values());
      later(0, this::kill);
    } else {
      executeUpstream(action);
    }
  }

  private void executeUpstream(EntryAction action) {
    if (action instanceof EntryAction.Connect connect) {
      connectUpstream(connect);
    } else if (action instanceof EntryAction.Transmit transmit) {
      transmit(transmit);
    } else if (action instanceof EntryAction.CloseUpstream close) {
      closeUpstream(close.request());
    } else if (action instanceof EntryAction.Resume resume) {
      resume(resume);
    } else if (action instanceof EntryAction.CancelUpstream cancel) {
      closeUpstream(cancel.request());
      EngineProcess engine = world.engine(cancel.target().address());
      new Pipe(this, engine).send(() -> engine.cancel(cancel.request()));
    }
  }

  private void reconnect(MemberId member) {
    ControlConnection connection = control.get(member);
    if (connection != null) {
      connection.closeByEntry();
      later(0, () -> disconnected(connection));
    }
  }

  private void connectUpstream(EntryAction.Connect connect) {
    EngineProcess engine = world.engine(connect.target().address());
    boolean cut = world.network().isCut(this, engine) || world.network().isCut(engine, this);
    later(
        cut ? CONNECT_TIMEOUT_NS : 2 * world.network().delayNs(),
        () ->
            handle(
                engine.isUp() && !cut
                    ? new EntryEvent.UpstreamConnected(connect.request(), connect.attempt())
                    : new EntryEvent.UpstreamConnectFailed(connect.request(), connect.attempt())));
    world.callers().find(connect.request()).goesTo(engine);
  }

  private void transmit(EntryAction.Transmit transmit) {
    Submission submission = world.callers().find(transmit.request());
    EngineProcess engine = submission.engine();
    EngineReader reader =
        new EngineReader(
            engine, this, transmit.request(), transmit.attempt(), transmit.request(), 0);
    open(transmit.request(), reader);
    world.engineHistory().transmitted(transmit.request(), engine);
    engine.opened(reader);
    new Pipe(this, engine).send(() -> engine.submit(submission.engineRequest()));
  }

  private void resume(EntryAction.Resume resume) {
    EngineProcess engine = world.engine(resume.target().address());
    EngineReader reader =
        new EngineReader(
            engine,
            this,
            resume.request(),
            resume.attempt(),
            resume.stream(),
            Math.toIntExact(resume.fromSequence()));
    open(resume.request(), reader);
    engine.opened(reader);
    new Pipe(this, engine).send(() -> engine.resume(reader));
  }

  private void open(RequestId request, EngineReader reader) {
    closeUpstream(request);
    readers.put(request, reader);
  }

  private void closeUpstream(RequestId request) {
    EngineReader reader = readers.remove(request);
    if (reader != null) {
      reader.close();
    }
  }

  private void withSubmission(RequestId request, Consumer<Submission> step) {
    Submission submission = submissions.get(request);
    if (submission != null) {
      step.accept(submission);
    }
  }
}
