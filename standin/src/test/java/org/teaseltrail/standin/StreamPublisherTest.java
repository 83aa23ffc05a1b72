package org.teaseltrail.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscription;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.standin.model.EngineAction;
import org.teaseltrail.standin.model.EngineEvent;
import org.teaseltrail.standin.model.EngineModel;
import org.teaseltrail.standin.model.EngineRequest;
import org.teaseltrail.standin.model.EngineSettings;
import org.teaseltrail.standin.model.HardwareGeneration;
import org.teaseltrail.standin.model.UpstreamIdentity;
import reactor.core.publisher.BaseSubscriber;

class StreamPublisherTest {

  private static final RequestId ID = new RequestId("r1");
  private static final ModelTarget TARGET =
      new ModelTarget(new ModelId("tutor"), new ModelVersion("1"), Optional.empty());
  private static final EngineRequest REQUEST = new EngineRequest(ID, TARGET, 4, List.of(), 100, 1);

  private final EngineModel model =
      new EngineModel(
          EngineSettings.standard(
              new UpstreamIdentity(
                  new UpstreamId("e1"),
                  new Incarnation(1),
                  new SocketAddress("127.0.0.1", 9000),
                  new DataCenterId("regina-a")),
              HardwareGeneration.GENERATION_3.profile(),
              List.of(new ServedModel(TARGET.model(), TARGET.version(), Set.of())),
              1),
          0);
  private final StreamPublisher readers = new StreamPublisher(model);

  // One caller's connection stalls during a response while another caller continues to read. The
  // engine's memory would grow, or the other caller would be blocked. A reader must receive no more
  // than its demand, and must not block other readers.
  @Test
  void slowReaderReceivesOnlyItsDemandAndBlocksNoOther() {
    model.handle(new EngineEvent.Submit(REQUEST), 0);
    Reader slow = read(3);
    final Reader fast = read(Long.MAX_VALUE);
    runAll();
    assertThat(slow.lines).hasSize(3);
    assertThat(slow.completed).isFalse();
    assertThat(fast.lines).hasSize(101);
    assertThat(fast.completed).isTrue();
    slow.request(200);
    assertThat(slow.lines).isEqualTo(fast.lines);
    assertThat(readers.isEmpty()).isTrue();
  }

  @Test
  void cancelledReaderIsRemoved() {
    model.handle(new EngineEvent.Submit(REQUEST), 0);
    Reader gone = read(3);
    gone.cancel();
    assertThat(readers.isEmpty()).isTrue();
  }

  @Test
  void abortedStreamEndsWithErrorLine() {
    model.handle(new EngineEvent.Submit(REQUEST), 0);
    Reader reader = read(1_000);
    dispatch(model.handle(new EngineEvent.Cancel(ID), 0));
    assertThat(reader.lines).hasSize(1);
    assertThat(reader.lines.get(0)).contains("error");
    assertThat(reader.completed).isTrue();
  }

  private Reader read(long wanted) {
    Reader reader = new Reader(wanted);
    readers.read(REQUEST, 0, Runnable::run).subscribe(reader);
    return reader;
  }

  private void runAll() {
    while (!model.isIdle()) {
      dispatch(model.handle(new EngineEvent.Tick(), model.nextWakeupNs().orElseThrow()));
    }
  }

  private void dispatch(List<EngineAction> actions) {
    for (EngineAction action : actions) {
      if (action instanceof EngineAction.Frame frame) {
        readers.onNewFrames(frame.frame().request());
      } else if (action instanceof EngineAction.StreamAborted broken) {
        readers.abort(broken.request());
      }
    }
  }

  private static final class Reader extends BaseSubscriber<String> {

    private final long wanted;
    private final List<String> lines = new ArrayList<>();
    private boolean completed;

    Reader(long wanted) {
      this.wanted = wanted;
    }

    @Override
    protected void hookOnSubscribe(Subscription subscription) {
      request(wanted);
    }

    @Override
    protected void hookOnNext(String line) {
      lines.add(line);
    }

    @Override
    protected void hookOnComplete() {
      completed = true;
    }
  }
}
