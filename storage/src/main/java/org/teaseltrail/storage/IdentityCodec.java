package org.teaseltrail.storage;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.replication.GroupId;

/** Codec for folder identities. */
final class IdentityCodec extends Codec<FolderIdentity> {

  @Override
  void pack(MessageBufferPacker packer, FolderIdentity identity) throws IOException {
    packer.packString(identity.group().value());
    MembershipCodec.packMember(packer, identity.member());
    packer.packLong(identity.incarnation().value());
  }

  @Override
  FolderIdentity unpack(MessageUnpacker unpacker) throws IOException {
    return new FolderIdentity(
        new GroupId(unpacker.unpackString()),
        MembershipCodec.unpackMember(unpacker),
        new Incarnation(unpacker.unpackLong()));
  }
}
