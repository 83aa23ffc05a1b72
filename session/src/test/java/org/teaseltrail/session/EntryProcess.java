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
final class EntryProcess extends SimulatedProcess {

  private static final long RECONNECT_NS = 50 * Timeline.MS;
  private static final long CONNECT_TIMEOUT_NS = 1_000 * Timeline.MS;

  private final VmId vm;
  private final Map<MemberId, ControlConnection> control = new LinkedHashMap<>();
  private final Map<RequestId, Submission> submissions = new LinkedHashMap<>();
  private final Map<RequestId, EngineStreamReader> readers = new HashMap<>();
  private EntryNode node;
  private boolean listening;
  private long revision;

  EntryProcess(SimulatedCluster cluster, String name) {
    super(cluster, name);
    this.vm = new VmId(name);
  }

  VmId vm() {
    return vm;
  }

  boolean isListening() {
    return isRunning() && listening;
  }

  boolean isReady() {
    return isRunning() && !isPaused() && node.isReady(localNs());
  }

  EntryStatus status() {
    return node.status();
  }

  long revision() {
    return revision;
  }

  @Override
  void onStart() {
    listening = true;
    revision = 0;
    node =
        new EntryNode(
            EntrySettings.defaults(vm, new Incarnation(incarnation()), new DataCenterId("a")));
    cluster.members().forEach(this::connect);
  }

  @Override
  void onKill() {
    control.values().forEach(ControlConnection::closeByEntry);
    control.clear();
    readers.values().forEach(EngineStreamReader::close);
    readers.clear();
    submissions.values().forEach(Submission::connectionLost);
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

  void onSubmission(Submission submission) {
    submissions.put(submission.id(), submission);
    deliver(
        incarnation(),
        () -> handle(new EntryEvent.RequestArrived(submission.id(), submission.callerCall())));
  }

  void disconnectCaller(Submission submission) {
    submissions.remove(submission.id());
    deliver(incarnation(), () -> handle(new EntryEvent.CallerGone(submission.id())));
  }

  void receive(Announcement announcement) {
    schedule(
        cluster.network().delayNs(),
        () ->
            handle(
                new EntryEvent.AnnouncementReceived(
                    0, announcement, SimulatedCluster.SECRET_HASH)));
  }

  void receive(CacheEvent event) {
    schedule(
        cluster.network().delayNs(),
        () -> handle(new EntryEvent.CacheEventReceived(0, event, SimulatedCluster.SECRET_HASH)));
  }

  void onControlMessage(ControlProcess member, ControlMessage message) {
    handle(new EntryEvent.ControlReceived(member.id(), message));
  }

  void onDisconnected(ControlConnection connection) {
    if (control.remove(connection.member().id(), connection)) {
      handle(new EntryEvent.ControlDisconnected(connection.member().id()));
      schedule(RECONNECT_NS, () -> connect(connection.member()));
    }
  }

  void drain() {
    handle(new EntryEvent.DrainRequested());
  }

  private void connect(ControlProcess member) {
    boolean reachable =
        member.isRunning()
            && !cluster.network().isPartitioned(this, member)
            && !cluster.network().isPartitioned(member, this);
    if (!reachable) {
      schedule(RECONNECT_NS, () -> connect(member));
      return;
    }
    ControlConnection connection = new ControlConnection(this, member);
    control.put(member.id(), connection);
    connection.open();
    schedule(2 * cluster.network().delayNs(), () -> onEstablished(connection));
  }

  private void onEstablished(ControlConnection connection) {
    if (control.get(connection.member().id()) == connection) {
      handle(new EntryEvent.ControlConnected(connection.member().id()));
    }
  }

  void handle(EntryEvent event) {
    if (!isRunning()) {
      return;
    }
    List<EntryAction> actions = node.handle(event, localNs());
    cluster.invariants().onConfigurationApplied(this, revision, node.status().revision());
    revision = node.status().revision();
    boolean arrived = event instanceof EntryEvent.RequestArrived;
    if (arrived && actions.stream().noneMatch(EntryAction.Conclude.class::isInstance)) {
      cluster.invariants().onAdmitted(this);
    }
    actions.forEach(this::execute);
    scheduleWakeup();
  }

  private void execute(EntryAction action) {
    cluster.trace().addEntryAction(this, action);
    if (action instanceof EntryAction.SendControl send) {
      ControlConnection connection = control.get(send.member());
      if (connection != null) {
        connection.sendToMember(send.message());
      }
    } else if (action instanceof EntryAction.ReconnectControl reconnect) {
      reconnect(reconnect.member());
    } else if (action instanceof EntryAction.Deliver deliver) {
      withSubmission(deliver.request(), s -> s.onTextFrame(deliver.frame()));
    } else if (action instanceof EntryAction.Conclude conclude) {
      withSubmission(conclude.request(), s -> s.onOutcome(conclude.outcome()));
      submissions.remove(conclude.request());
    } else if (action instanceof EntryAction.CloseListener) {
      listening = false;
    } else if (action instanceof EntryAction.Exit) {
      cluster.invariants().onExit(this, submissions.values());
      schedule(0, this::kill);
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
      EngineProcess engine = cluster.engine(cancel.target().address());
      new Pipe(this, engine).send(() -> engine.cancel(cancel.request()));
    }
  }

  private void reconnect(MemberId member) {
    ControlConnection connection = control.get(member);
    if (connection != null) {
      connection.closeByEntry();
      schedule(0, () -> onDisconnected(connection));
    }
  }

  private void connectUpstream(EntryAction.Connect connect) {
    EngineProcess engine = cluster.engine(connect.target().address());
    boolean cut =
        cluster.network().isPartitioned(this, engine)
            || cluster.network().isPartitioned(engine, this);
    schedule(
        cut ? CONNECT_TIMEOUT_NS : 2 * cluster.network().delayNs(),
        () ->
            handle(
                engine.isRunning() && !cut
                    ? new EntryEvent.UpstreamConnected(connect.request(), connect.attempt())
                    : new EntryEvent.UpstreamConnectFailed(connect.request(), connect.attempt())));
    cluster.callers().find(connect.request()).setEngine(engine);
  }

  private void transmit(EntryAction.Transmit transmit) {
    Submission submission = cluster.callers().find(transmit.request());
    EngineProcess engine = submission.engine();
    EngineStreamReader reader =
        new EngineStreamReader(
            engine, this, transmit.request(), transmit.attempt(), transmit.request(), 0);
    open(transmit.request(), reader);
    cluster.engineRequests().onTransmitted(transmit.request(), engine);
    engine.onConnectionOpened(reader);
    new Pipe(this, engine).send(() -> engine.submit(submission.engineRequest()));
  }

  private void resume(EntryAction.Resume resume) {
    EngineProcess engine = cluster.engine(resume.target().address());
    EngineStreamReader reader =
        new EngineStreamReader(
            engine,
            this,
            resume.request(),
            resume.attempt(),
            resume.stream(),
            Math.toIntExact(resume.fromSequence()));
    open(resume.request(), reader);
    engine.onConnectionOpened(reader);
    new Pipe(this, engine).send(() -> engine.resume(reader));
  }

  private void open(RequestId request, EngineStreamReader reader) {
    closeUpstream(request);
    readers.put(request, reader);
  }

  private void closeUpstream(RequestId request) {
    EngineStreamReader reader = readers.remove(request);
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
