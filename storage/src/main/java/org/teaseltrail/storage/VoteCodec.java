package org.teaseltrail.storage;

import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.replication.Vote;

/** Codec for votes; an empty member id means that no vote was cast in the term. */
final class VoteCodec extends Codec<Vote> {

  @Override
  void pack(MessageBufferPacker packer, Vote vote) throws IOException {
    packer.packLong(vote.term());
    packer.packString(vote.votedFor().map(MemberId::value).orElse(""));
  }

  @Override
  Vote unpack(MessageUnpacker unpacker) throws IOException {
    long term = unpacker.unpackLong();
    String votedFor = unpacker.unpackString();
    return new Vote(
        term, votedFor.isEmpty() ? Optional.empty() : Optional.of(new MemberId(votedFor)));
  }
}
