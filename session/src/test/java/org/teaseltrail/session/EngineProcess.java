package org.teaseltrail.session;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.request.StreamFrame;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.standin.model.AnswerLength;
import org.teaseltrail.standin.model.AnswerTextGenerator;
import org.teaseltrail.standin.model.EngineAction;
import org.teaseltrail.standin.model.EngineEvent;
import org.teaseltrail.standin.model.EngineFrame;
import org.teaseltrail.standin.model.EngineModel;
import org.teaseltrail.standin.model.EngineRefusal;
import org.teaseltrail.standin.model.EngineRequest;
import org.teaseltrail.standin.model.EngineSettings;
import org.teaseltrail.standin.model.HardwareProfile;
import org.teaseltrail.standin.model.ReportingProfile;
import org.teaseltrail.standin.model.UpstreamIdentity;

/** Simulated engine process with the connections that read its streams. */
final class EngineProcess extends SimulatedProcess {

  private static final HardwareProfile HARDWARE = new HardwareProfile(10, 1, 0.1, 4, 512, 10_240);
  private static final int PORT = 9_000;

  private final UpstreamId id;
  private final SocketAddress address;
  private final List<EngineStreamReader> readers = new ArrayList<>();
  private final Set<RequestId> abortedStreams = new HashSet<>();
  private EngineModel model;
  private Runnable drainedListener = () -> {};
  private long leavingSinceNs = Long.MAX_VALUE;

  EngineProcess(SimulatedCluster cluster, String name) {
    super(cluster, name);
    this.id = new UpstreamId(name);
    this.address = new SocketAddress(name, PORT);
  }

  UpstreamId id() {
    return id;
  }

  SocketAddress address() {
    return address;
  }

  long leavingSinceNs() {
    return leavingSinceNs;
  }

  @Override
  void onStart() {
    leavingSinceNs = Long.MAX_VALUE;
    UpstreamIdentity identity =
        new UpstreamIdentity(id, new Incarnation(incarnation()), address, new DataCenterId("a"));
    ServedModel served =
        new ServedModel(SimulatedCluster.MODEL.model(), SimulatedCluster.MODEL.version(), Set.of());
    model =
        new EngineModel(
            new EngineSettings(
                identity,
                HARDWARE,
                ReportingProfile.standard(),
                List.of(served),
                AnswerLength.EXACT,
                1,
                true,
                EngineSettings.RESUME_RETENTION_MS,
                1_000,
                1_000,
                1,
                cluster.random().nextLong()),
            localNs());
  }

  @Override
  void onKill() {
    abortedStreams.clear();
    readers.forEach(EngineStreamReader::broken);
    readers.clear();
  }

  @Override
  OptionalLong nextWakeupNs() {
    return model.nextWakeupNs();
  }

  @Override
  void tick() {
    handle(new EngineEvent.Tick());
  }

  void leave(Runnable onDrained) {
    drainedListener = onDrained;
    leavingSinceNs = cluster.timeline().nowNs();
    handle(new EngineEvent.Drain());
  }

  void slowDown(double factor) {
    handle(new EngineEvent.SetStragglerFactor(factor));
  }

  void cancel(RequestId request) {
    handle(new EngineEvent.Cancel(request));
  }

  /** Registers a connection, which breaks when this incarnation ends. */
  void onConnectionOpened(EngineStreamReader reader) {
    if (isRunning()) {
      readers.add(reader);
    } else {
      reader.broken();
    }
  }

  /** Accepts a request from an entry VM. */
  void submit(EngineRequest request) {
    cluster.engineRequests().submitted(request.id());
    handle(new EngineEvent.Submit(request));
  }

  void resume(EngineStreamReader reader) {
    if (model.request(reader.stream()).isEmpty()) {
      reader.unknown();
      return;
    }
    forwardFrames();
  }

  /** Breaks all connections that read the given stream. */
  void breakConnections(RequestId stream) {
    readersOf(stream).forEach(EngineStreamReader::broken);
  }

  void injectFrameFault(RequestId stream, EngineStreamReader.FrameFault frameFault) {
    readersOf(stream).forEach(reader -> reader.injectFault(frameFault));
  }

  private void handle(EngineEvent event) {
    List<EngineAction> actions = model.handle(event, localNs());
    for (EngineAction action : actions) {
      execute(action);
    }
    forwardFrames();
    scheduleWakeup();
  }

  private void execute(EngineAction action) {
    if (action instanceof EngineAction.Accept accept) {
      cluster.engineRequests().ran(accept.request());
    } else if (action instanceof EngineAction.Refuse refuse) {
      refuse(refuse);
    } else if (action instanceof EngineAction.StreamAborted broken) {
      abortedStreams.add(broken.request());
    } else if (action instanceof EngineAction.Announce announce) {
      cluster.randomReachableEntry(this).ifPresent(entry -> entry.receive(announce.announcement()));
    } else if (action instanceof EngineAction.PublishCacheEvent publish) {
      cluster.randomReachableEntry(this).ifPresent(entry -> entry.receive(publish.event()));
    } else if (action instanceof EngineAction.Drained) {
      cluster.trace().addLine(name(), "is drained");
      drainedListener.run();
    }
  }

  private void refuse(EngineAction.Refuse refuse) {
    for (EngineStreamReader reader : readersOf(refuse.request())) {
      if (refuse.reason() == EngineRefusal.DUPLICATE_REQUEST) {
        reader.onDuplicateRequest();
      } else {
        reader.refused();
      }
    }
  }

  private void forwardFrames() {
    readers.removeIf(reader -> !reader.isOpen());
    for (EngineStreamReader reader : List.copyOf(readers)) {
      forwardFrames(reader);
    }
  }

  private void forwardFrames(EngineStreamReader reader) {
    Optional<EngineFrame> next = model.frame(reader.stream(), reader.nextFrame());
    while (reader.isOpen() && next.isPresent()) {
      reader.frame(text(next.get()));
      next = model.frame(reader.stream(), reader.nextFrame());
    }
    if (abortedStreams.contains(reader.stream())) {
      reader.broken();
    }
  }

  private StreamFrame text(EngineFrame frame) {
    RequestId stream = frame.request();
    if (frame.isEnd()) {
      return new StreamFrame.End(stream, frame.sequence(), frame.usage().orElseThrow());
    }
    long seed = model.request(stream).orElseThrow().answerSeed();
    String text = AnswerTextGenerator.text(seed, frame.firstToken(), frame.tokens());
    return new StreamFrame.Text(stream, frame.sequence(), text);
  }

  private List<EngineStreamReader> readersOf(RequestId stream) {
    return readers.stream().filter(r -> r.isOpen() && r.stream().equals(stream)).toList();
  }
}
