package org.teaseltrail.storage;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.teaseltrail.core.replication.EntryPayload;
import org.teaseltrail.core.replication.LogEntry;

/** Codec for log entries: index, term, payload type and payload. */
final class LogEntryCodec extends Codec<LogEntry> {

  private static final int NOOP = 0;
  private static final int COMMAND = 1;
  private static final int MEMBERSHIP = 2;

  private final MembershipCodec memberships = new MembershipCodec();

  @Override
  void pack(MessageBufferPacker packer, LogEntry entry) throws IOException {
    packer.packLong(entry.index());
    packer.packLong(entry.term());
    if (entry.payload() instanceof EntryPayload.CommandPayload command) {
      packer.packInt(COMMAND);
      packer.packBinaryHeader(command.bytes().length);
    } else if (entry.payload() instanceof EntryPayload.MembershipPayload change) {
      packer.packInt(MEMBERSHIP);
      memberships.pack(packer, change.membership());
    } else {
      packer.packInt(NOOP);
    }
  }

  @Override
  byte[] tail(LogEntry entry) {
    return entry.payload() instanceof EntryPayload.CommandPayload command
        ? command.bytes()
        : super.tail(entry);
  }

  @Override
  LogEntry unpack(MessageUnpacker unpacker) throws IOException {
    return new LogEntry(unpacker.unpackLong(), unpacker.unpackLong(), unpackPayload(unpacker));
  }

  private EntryPayload unpackPayload(MessageUnpacker unpacker) throws IOException {
    int kind = unpacker.unpackInt();
    return switch (kind) {
      case NOOP -> new EntryPayload.Noop();
      case COMMAND ->
          new EntryPayload.CommandPayload(unpacker.readPayload(unpacker.unpackBinaryHeader()));
      case MEMBERSHIP -> new EntryPayload.MembershipPayload(memberships.unpack(unpacker));
      default -> throw new IOException("unknown log entry type: " + kind);
    };
  }
}
