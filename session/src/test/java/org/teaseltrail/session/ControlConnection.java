package org.teaseltrail.session;

import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;

/** Is one TCP connection from an entry VM to a control member. */
final class ControlConnection {

  private final EntryProcess entry;
  private final ControlProcess member;
  private final Pipe up;
  private final Pipe down;
  private boolean entryOpen = true;
  private boolean memberOpen = true;

  ControlConnection(EntryProcess entry, ControlProcess member) {
    this.entry = entry;
    this.member = member;
    this.up = new Pipe(entry, member);
    this.down = new Pipe(member, entry);
  }

  EntryProcess entry() {
    return entry;
  }

  ControlProcess member() {
    return member;
  }

  void open() {
    up.send(() -> member.opened(this));
  }

  void toMember(EntryMessage message) {
    if (entryOpen) {
      up.send(() -> member.received(entry.vm(), message));
    }
  }

  void toEntry(ControlMessage message) {
    if (memberOpen) {
      down.send(
          () -> {
            if (entryOpen) {
              entry.received(member, message);
            }
          });
    }
  }

  /** Closes from the entry VM's side; what it sent before still arrives. */
  void closeByEntry() {
    if (entryOpen) {
      entryOpen = false;
      up.send(
          () -> {
            memberOpen = false;
            member.closed(this);
          });
    }
  }

  void closeByMember() {
    if (memberOpen) {
      memberOpen = false;
      down.send(
          () -> {
            if (entryOpen) {
              entryOpen = false;
              entry.disconnected(this);
            }
          });
    }
  }
}
