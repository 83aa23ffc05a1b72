package org.teaseltrail.bench.control;

import java.io.PrintStream;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.state.ClusterState;
import org.teaseltrail.wire.MessageCodec;
import org.teaseltrail.wire.MessagePackStateCodec;

/** Measures the size of snapshots by the size of the state, and the size of control messages. */
final class SizeBench {

  private static final int FRAME_BYTES = 4;
  private static final int ROUNDS = 5;

  private final MessageCodec codec = new MessageCodec();
  private final MessagePackStateCodec states = new MessagePackStateCodec(codec);

  void run(PrintStream out) {
    snapshots(out);
    messages(out);
  }

  private void snapshots(PrintStream out) {
    out.println("customers,upstreams,claims,snapshot_bytes,encode_ms,decode_ms");
    int[][] sizes = {
      {5, 14, 0}, {440, 1_100, 0}, {440, 1_100, 1_000}, {440, 1_100, 10_000}, {440, 1_100, 100_000}
    };
    for (int[] size : sizes) {
      ClusterState state = SampleStateFactory.of(size[0], size[1], size[2]);
      byte[] bytes = states.encodeSnapshot(state.snapshot());
      double encodeMs = timeMs(() -> states.encodeSnapshot(state.snapshot()));
      double decodeMs = timeMs(() -> new ClusterState(states.decodeSnapshot(bytes)));
      out.printf(
          "%d,%d,%d,%d,%.1f,%.1f%n", size[0], size[1], size[2], bytes.length, encodeMs, decodeMs);
    }
  }

  private void messages(PrintStream out) {
    Revision revision = new Revision(12_345);
    EntryMessage hello =
        new EntryMessage.Hello(
            new VmId("entry-regina-1"),
            new Incarnation(1_764_700_000_000L),
            new DataCenterId("regina-a"),
            revision,
            100_000);
    ControlMessage welcome =
        new ControlMessage.Welcome(
            new MemberId("control-1-123456789"),
            new FencingNumber(12),
            revision,
            3_000,
            false,
            100_000);
    out.println("message,bytes");
    out.printf("hello,%d%n", FRAME_BYTES + codec.encode(EntryMessage.class, hello).length);
    out.printf("welcome,%d%n", FRAME_BYTES + codec.encode(ControlMessage.class, welcome).length);
    out.printf("configuration update (5 customers; 14 upstreams),%d%n", update(5, 14));
    out.printf("configuration update (440 customers; 1100 upstreams),%d%n", update(440, 1_100));
  }

  private int update(int customers, int upstreams) {
    ControlMessage update =
        new ControlMessage.ConfigurationUpdate(
            new FencingNumber(12), SampleStateFactory.of(customers, upstreams, 0).configuration());
    return FRAME_BYTES + codec.encode(ControlMessage.class, update).length;
  }

  /** Returns the minimum over several rounds, to reduce the influence of warm-up and other load. */
  private static double timeMs(Runnable step) {
    long bestNs = Long.MAX_VALUE;
    for (int i = 0; i < ROUNDS; i++) {
      long beginNs = System.nanoTime();
      step.run();
      bestNs = Math.min(bestNs, System.nanoTime() - beginNs);
    }
    return bestNs / 1e6;
  }
}
