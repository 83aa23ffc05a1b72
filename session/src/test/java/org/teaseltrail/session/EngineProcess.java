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
import org.teaseltrail.standin.model.AnswerText;
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
final class EngineProcess extends FakeProcess {

  private static final HardwareProfile HARDWARE = new HardwareProfile(10, 1, 0.1, 4, 512, 10_240);
  private static final int PORT = 9_000;

  private final UpstreamId id;
  private final SocketAddress address;
  private final List<EngineReader> readers = new ArrayList<>();
  private final Set<RequestId> abortedStreams = new HashSet<>();
  private EngineModel model;
  private Runnable drainedListener = () -> {};
  private long leavingSinceNs = Long.MAX_VALUE;

  EngineProcess(SessionWorld world, String name) {
    super(world, name);
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
  void begin() {
    leavingSinceNs = Long.MAX_VALUE;
    UpstreamIdentity identity =
        new UpstreamIdentity(id, new Incarnation(life()), address, new DataCenterId("a"));
    ServedModel served =
        new ServedModel(SessionWorld.MODEL.model(), SessionWorld.MODEL.version(), Set.of());
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
                world.random().nextLong()),
            localNs());
  }

  @Override
  void ended() {
    abortedStreams.clear();
    readers.forEach(EngineReader::broken);
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
    leavingSinceNs = world.timeline().nowNs();
    handle(new EngineEvent.Leave());
  }

  void straggle(double factor) {
    handle(new EngineEvent.Straggle(factor));
  }

  void cancel(RequestId request) {
    handle(new EngineEvent.Cancel(request));
  }

  /** Registers a connection, which breaks when this incarnation ends. */
  void opened(EngineReader reader) {
    if (isUp()) {
      readers.add(reader);
    } else {
      reader.broken();
    }
  }

  /** Accepts a request from an entry VM. */
  void submit(EngineRequest request) {
    world.engineHistory().submitted(request.id());
    handle(new EngineEvent.Submit(request));
  }

  void resume(EngineReader reader) {
    if (model.request(reader.stream()).isEmpty()) {
      reader.unknown();
      return;
    }
    forwardFrames();
  }

  /** Breaks all connections that read the given stream. */
  void breakConnections(RequestId stream) {
    readersOf(stream).forEach(EngineReader::broken);
  }

  void disturb(RequestId stream, EngineReader.Mischief frameFault) {
    readersOf(stream).forEach(reader -> reader.disturb(frameFault));
  }

  private void handle(EngineEvent event) {
    List<EngineAction> actions = model.handle(event, localNs());
    for (EngineAction action : actions) {
      execute(action);
    }
    forwardFrames();
    rearm();
  }

  private void execute(EngineAction action) {
    if (action instanceof EngineAction.Accept accept) {
      world.engineHistory().ran(accept.request());
    } else if (action instanceof EngineAction.Refuse refuse) {
      refuse(refuse);
    } else if (action instanceof EngineAction.StreamBroken broken) {
      abortedStreams.add(broken.request());
    } else if (action instanceof EngineAction.Announce announce) {
      world.anyEntry(this).ifPresent(entry -> entry.hear(announce.announcement()));
    } else if (action instanceof EngineAction.PublishCacheEvent publish) {
      world.anyEntry(this).ifPresent(entry -> entry.hear(publish.event()));
    } else if (action instanceof EngineAction.Drained) {
      world.trace().line(name(), "is drained");
      drainedListener.run();
    }
  }

  private void refuse(EngineAction.Refuse refuse) {
    for (EngineReader reader : readersOf(refuse.request())) {
      if (refuse.reason() == EngineRefusal.DUPLICATE_REQUEST) {
        reader.alreadyKnown();
      } else {
        reader.refused();
      }
    }
  }

  private void forwardFrames() {
    readers.removeIf(reader -> !reader.isOpen());
    for (EngineReader reader : List.copyOf(readers)) {
      forwardFrames(reader);
    }
  }

  private void forwardFrames(EngineReader reader) {
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
    String text = AnswerText.text(seed, frame.firstToken(), frame.tokens());
    return new StreamFrame.Text(stream, frame.sequence(), text);
  }

  private List<EngineReader> readersOf(RequestId stream) {
    return readers.stream().filter(r -> r.isOpen() && r.stream().equals(stream)).toList();
  }
}
