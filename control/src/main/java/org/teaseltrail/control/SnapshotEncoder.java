package org.teaseltrail.control;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.teaseltrail.core.control.ControlAction;
import org.teaseltrail.core.control.ControlEvent;
import org.teaseltrail.core.state.StateCodec;

/** Encodes snapshots on a dedicated thread. */
final class SnapshotEncoder implements AutoCloseable {

  private final ExecutorService executor =
      Executors.newSingleThreadExecutor(work -> new Thread(work, "snapshots"));
  private final StateCodec codec;
  private final Consumer<ControlEvent> events;
  private final Consumer<Throwable> failed;

  SnapshotEncoder(StateCodec codec, Consumer<ControlEvent> events, Consumer<Throwable> failed) {
    this.codec = codec;
    this.events = events;
    this.failed = failed;
  }

  void encode(ControlAction.EncodeSnapshot wanted) {
    executor.execute(() -> encodeNow(wanted));
  }

  /** Discards the snapshots in progress; the log still contains all entries that they cover. */
  @Override
  public void close() {
    executor.shutdownNow();
  }

  private void encodeNow(ControlAction.EncodeSnapshot wanted) {
    try {
      byte[] state = codec.encodeSnapshot(wanted.snapshot());
      events.accept(new ControlEvent.SnapshotEncoded(wanted.index(), state));
    } catch (RuntimeException | Error e) {
      // Without snapshots the log would grow until the memory or the disk is full.
      failed.accept(e);
    }
  }
}
