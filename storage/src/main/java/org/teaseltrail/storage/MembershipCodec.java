package org.teaseltrail.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.Membership;

/** Codec for group memberships: voters and learners. */
final class MembershipCodec extends Codec<Membership> {

  @Override
  void pack(MessageBufferPacker packer, Membership membership) throws IOException {
    packMembers(packer, membership.voters());
    packMembers(packer, membership.learners());
  }

  @Override
  Membership unpack(MessageUnpacker unpacker) throws IOException {
    return new Membership(unpackMembers(unpacker), unpackMembers(unpacker));
  }

  static void packMember(MessageBufferPacker packer, Member member) throws IOException {
    packer.packString(member.id().value());
    packer.packString(member.vm().value());
  }

  static Member unpackMember(MessageUnpacker unpacker) throws IOException {
    return new Member(new MemberId(unpacker.unpackString()), new VmId(unpacker.unpackString()));
  }

  private static void packMembers(MessageBufferPacker packer, List<Member> members)
      throws IOException {
    packer.packArrayHeader(members.size());
    for (Member member : members) {
      packMember(packer, member);
    }
  }

  private static List<Member> unpackMembers(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(unpackMember(unpacker));
    }
    return members;
  }
}
