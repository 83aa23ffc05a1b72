package org.teaseltrail.storage;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.teaseltrail.core.replication.Membership;
import org.teaseltrail.core.replication.Snapshot;

/** Codec for snapshots. */
final class SnapshotCodec extends Codec<Snapshot> {

  private final MembershipCodec memberships = new MembershipCodec();

  @Override
  void pack(MessageBufferPacker packer, Snapshot snapshot) throws IOException {
    packer.packLong(snapshot.index());
    packer.packLong(snapshot.term());
    memberships.pack(packer, snapshot.membership());
    packer.packBinaryHeader(snapshot.state().length);
  }

  @Override
  byte[] tail(Snapshot snapshot) {
    return snapshot.state();
  }

  @Override
  Snapshot unpack(MessageUnpacker unpacker) throws IOException {
    long index = unpacker.unpackLong();
    long term = unpacker.unpackLong();
    Membership membership = memberships.unpack(unpacker);
    byte[] state = unpacker.readPayload(unpacker.unpackBinaryHeader());
    return new Snapshot(index, term, membership, state);
  }
}
